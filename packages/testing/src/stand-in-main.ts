// Runs one stand-in endpoint as a process. The only argument is a JSON object of StandInOptions. The first line of
// output is the status as JSON, with the ports in use. `POST /crash` and SIGTERM end the process.
import { StandInEndpoint, type StandInOptions } from "./stand-in/stand-in-endpoint.js";

class StandInProcess extends StandInEndpoint {
    override crash(): void {
        super.crash();
        process.exit(0);
    }
}

// No await at the top level, so that the program can be bundled as CommonJS too.
const endpoint = new StandInProcess(JSON.parse(process.argv[2] ?? "{}") as StandInOptions);
process.on("SIGTERM", () => endpoint.crash());
endpoint.start().then(
    () => process.stdout.write(`${JSON.stringify(endpoint.status())}\n`),
    (error: unknown) => {
        process.stderr.write(`stand-in: ${error instanceof Error ? error.message : "could not start"}\n`);
        process.exit(1);
    },
);
