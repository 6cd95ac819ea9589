/**
 * `zinnialandingd`: reads the settings, runs their roles in one process and stops them gracefully on SIGTERM or SIGINT.
 *
 * @module
 */

import { parseArgs } from "node:util";
import { formatFinding, loadSettings } from "./config/index.js";
import { createDaemon } from "./compose.js";
import { createLogger, logFatalException } from "./telemetry/index.js";

const settingsExitCode = 3;

/** Loads the settings. If they are invalid, prints the findings and exits. */
function loadSettingsOrExit(file: string) {
    const loaded = loadSettings(file);
    if ("findings" in loaded) {
        loaded.findings.forEach(finding => console.error(formatFinding(finding)));
        process.exit(settingsExitCode);
    }
    return loaded.settings;
}

async function main() {
    const { values } = parseArgs({ options: { settings: { type: "string" }, check: { type: "boolean", default: false } } });
    if (values.settings === undefined) {
        console.error("usage: zinnialandingd --settings FILE [--check]");
        process.exit(2);
    }
    const settings = loadSettingsOrExit(values.settings);
    if (values.check) {
        console.log(`${values.settings}: no findings`);
        return;
    }
    const log = { logger: createLogger("error", settings.daemon.id), flushLog: () => Promise.resolve() };
    logFatalException(() => log);
    const started = Promise.resolve().then(() => createDaemon(settings));
    let isStopping = false;
    const stop = () => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        void started.then(daemon => daemon.stop()).then(() => process.exit(0));
    };
    // Signals that come during the start are followed after it.
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("SIGHUP", () => void started.then(daemon => daemon.reloadCertificates()));
    const daemon = await started;
    console.log(JSON.stringify({ listening: daemon.rpcAddress, callers: daemon.callersAddress, operators: daemon.operatorsAddress }));
}

await main();
