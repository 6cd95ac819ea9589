// Starts the bundled program from its code cache. A cache from another version of Node.js or from other flags is rejected, and the
// program is compiled as usual. With --write-cache, the cache is written when the program exits.
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { constants, Script } from "node:vm";

// The program reads its settings once it is loaded, so a SIGHUP before that has nothing to do, and must not end the process.
process.on("SIGHUP", () => undefined);

const programPath = fileURLToPath(new URL("zinnialanding.cjs", import.meta.url));
const cachePath = fileURLToPath(new URL("zinnialanding.cache", import.meta.url));
// The bundle contains only ASCII characters. Read as latin1, it takes half the memory.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(programPath, "latin1")}\n})`;
const script = new Script(source, {
    filename: programPath,
    cachedData: existsSync(cachePath) ? readFileSync(cachePath) : undefined,
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});
if (process.argv[2] === "--write-cache") {
    process.on("exit", () => writeFileSync(cachePath, script.createCachedData()));
}
const bundledModule = { exports: {} };
script.runInThisContext()(bundledModule.exports, createRequire(programPath), bundledModule, programPath, dirname(programPath));
