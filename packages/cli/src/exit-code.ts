/** Exit codes of the program. */
export const ExitCode = {
    Done: 0,
    /** The command ran and found a failure, or the system refused it. */
    Failed: 1,
    /** Wrong usage or wrong settings; nothing was changed. */
    Usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
