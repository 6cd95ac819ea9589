// Starts the bundled program from its code cache. A cache that another version of Node.js or other flags have made is not taken, and the
// program is compiled as usual. With --write-cache the cache is written when the program ends.
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { constants, Script } from "node:vm";

const program = fileURLToPath(new URL("zinnialanding.cjs", import.meta.url));
const cache = fileURLToPath(new URL("zinnialanding.cache", import.meta.url));
// The bundle holds ASCII alone; read as such it takes half of the memory.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, "latin1")}\n})`;
const script = new Script(source, {
    filename: program,
    cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});
if (process.argv[2] === "--write-cache") {
    process.on("exit", () => writeFileSync(cache, script.createCachedData()));
}
const bundled = { exports: {} };
script.runInThisContext()(bundled.exports, createRequire(program), bundled, program, dirname(program));
