// Runs one load, or a bare relay, as a process of its own. The arguments are "load" and a JSON object of LoadOptions, or
// "relay" and the ports to which connections are passed in turn. The first line of output is the report or the port.
import { connect, createServer } from "node:net";
import { type LoadOptions, runLoad } from "./load.js";

function startRelay(targets: readonly number[]): void {
    let accepted = 0;
    const server = createServer({ noDelay: true }, caller => {
        const target = connect({ port: targets[accepted++ % targets.length] ?? 0, host: "127.0.0.1", noDelay: true });
        caller.on("error", () => target.destroy());
        target.on("error", () => caller.destroy());
        caller.pipe(target).pipe(caller);
    });
    server.listen(0, "127.0.0.1", () => {
        const address = server.address();
        process.stdout.write(`${JSON.stringify(typeof address === "object" ? address?.port : 0)}\n`);
    });
}

if (process.argv[2] === "relay") {
    startRelay(JSON.parse(process.argv[3] ?? "[]") as readonly number[]);
}
else {
    runLoad(JSON.parse(process.argv[3] ?? "{}") as LoadOptions).then(
        report => {
            process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
        },
        (error: unknown) => {
            process.stderr.write(`load: ${error instanceof Error ? error.message : String(error)}\n`);
            process.exit(1);
        },
    );
}
