import { parseArgs } from "node:util";
import { runCell } from "./cell.js";
import { cellNamed, pairCells, singleCells } from "./matrix.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        only: { type: "string" },
        pairs: { type: "string", default: "0" },
        shard: { type: "string", default: "0/1" },
        acknowledge: { type: "string", default: "replica" },
        trace: { type: "boolean", default: false },
    },
});

const seed = Number(values.seed);
const [shard = 0, shards = 1] = values.shard.split("/").map(Number);
const all = [...singleCells(), ...pairCells(Number(values.pairs), seed)];
const conditions = { acknowledge: values.acknowledge === "primary" ? "primary" : "replica" } as const;
const { only } = values;
const named = only === undefined ? undefined : cellNamed(only);
const cells = only === undefined ? all : named === undefined ? [] : [named];
for (const cell of cells.filter((_, index) => index % shards === shard)) {
    const result = await runCell(cell, seed, conditions);
    // One line of JSON for each cell: the script that started this process collects them.
    console.log(JSON.stringify({ name: cell.name, ...result, ...(values.trace ? {} : { traces: undefined }) }));
}
