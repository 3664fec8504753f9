import { HostProcess } from "@medlarledge/daemon";
import { formatFinding, loadHostSettings } from "@medlarledge/settings";
import { createLog } from "@medlarledge/telemetry";
import { ExitCode } from "./exit-code.js";
import type { Output } from "./output.js";

/** Runs one host until it is asked to stop, or until it cannot go on. */
export async function serve(file: string, output: Output): Promise<ExitCode> {
    const read = await loadHostSettings(file);
    if (!read.ok) {
        read.findings.forEach(finding => output.error(formatFinding(finding)));
        return ExitCode.Usage;
    }
    const log = createLog(read.settings.id, read.settings.logLevel);
    let end: (failed: boolean) => void = () => undefined;
    const ended = new Promise<boolean>(resolve => (end = resolve));
    const host = new HostProcess(read.settings, log, () => end(true));
    const failure = await host.start();
    if (failure !== undefined) {
        output.error(`medlarledge: ${failure.kind}: ${failure.reason}`);
        return ExitCode.Failed;
    }
    process.once("SIGTERM", () => end(false));
    process.once("SIGINT", () => end(false));
    const failed = await ended;
    const { cut } = await host.stop();
    return failed || cut > 0 ? ExitCode.Failed : ExitCode.Done;
}
