/**
 * Source of the loader of a program, which runs the bundle beside it. Code that another version of Node compiled is
 * refused by V8 and compiled anew. SIGHUP ends a process that does not handle it; until the program does, there is
 * nothing to reload, since the settings are read later.
 */
export function loaderOf(name) {
    return `"use strict";
process.on("SIGHUP", () => undefined);
const { existsSync, readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");
const bundle = join(__dirname, "${name}.bundle.cjs");
const cache = join(__dirname, "${name}.cache");
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(wrap(readFileSync(bundle, "utf8")), { filename: bundle, cachedData });
script.runInThisContext()(exports, require, module, bundle, __dirname);
if (process.env.MEDLARLEDGE_CODE_CACHE === undefined) {
    void module.exports.run();
}
else {
    require("node:fs").writeFileSync(process.env.MEDLARLEDGE_CODE_CACHE, script.createCachedData());
}
`;
}
