/** Version of the program; the build checks that package.json states the same one. */
export const VERSION = "0.1.0";
