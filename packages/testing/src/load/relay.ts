import { connect, createServer } from "node:net";

/** A bare TCP relay: the bound that a proxy in Node is compared with. Targets are used in turn. */
export function startRelay(targets: readonly number[]): void {
    let next = 0;
    const server = createServer({ noDelay: true }, inward => {
        const outward = connect({ host: "127.0.0.1", port: targets[next++ % targets.length] ?? 0, noDelay: true });
        inward.pipe(outward).pipe(inward);
        inward.on("error", () => outward.destroy());
        outward.on("error", () => inward.destroy());
    });
    server.listen(0, "127.0.0.1", () => {
        const address = server.address();
        console.log(typeof address === "object" && address !== null ? address.port : 0);
    });
}
