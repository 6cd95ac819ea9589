// Bundles the program that the platform starts and writes its V8 code cache: clients wait while a killed process restarts, and most of
// the CPU time of a start goes into compiling libraries.
import { spawnSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** V8 accepts the code cache only in a process with the same flags. These are the flags of the deploy file. */
const flags = ["--max-old-space-size=180"];
/** Without a settings file, the program prints an error and exits with this code. */
const noSettingsExitCode = 3;

/** Replaces undici's index module, which pulls in the whole fetch implementation; this program does not use it. */
const undiciParts = {
    name: "undici-parts",
    setup: ({ onResolve }) => onResolve({ filter: /^undici$/ }, () => ({ path: fileURLToPath(new URL("undiciParts.js", import.meta.url)) })),
};

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/zinnialanding.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    sourcemap: false,
    // Identifiers are not minified, so that stack traces stay readable.
    minifyWhitespace: true,
    minifySyntax: true,
    // Node.js builds the text of a failed assertion from its source line, which takes minutes if the line is the whole program.
    lineLimit: 160,
    define: { "import.meta.url": "__moduleUrl" },
    banner: { js: "const __moduleUrl = require('node:url').pathToFileURL(__filename).href;" },
    plugins: [undiciParts],
});

copyFileSync(new URL("start.js", import.meta.url), "target/start.mjs");
rmSync("target/zinnialanding.cache", { force: true });
const { status, stderr } = spawnSync(process.execPath, [...flags, "target/start.mjs", "--write-cache"], {
    env: { PATH: process.env.PATH }, encoding: "utf8",
});
if (status !== noSettingsExitCode) {
    throw new Error(`the bundle exited with ${status} while writing its code cache: ${stderr}`);
}
