// Bundles the program that the platform starts, and compiles it once, here: callers wait for every start after a kill, and most of the
// processor time of a start goes into compiling libraries.
import { spawnSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** The code cache is only taken by a process with the same flags; they are those of the deploy file. */
const flags = ["--max-old-space-size=180"];
/** With no settings named, the program says so and ends with this code. */
const noSettingsExitCode = 3;

/** The package's index brings a whole browser's fetch along, which nothing here uses. */
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
    // Names stay, so that a stack says where it happened.
    minifyWhitespace: true,
    minifySyntax: true,
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
    throw new Error(`the bundle ended with ${status} when its code cache was written: ${stderr}`);
}
