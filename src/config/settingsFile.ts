/**
 * Follows a settings file at run time. While the file is missing, unreadable or incomplete, as when it is replaced, the settings in force
 * stay; they change once the file can be used again.
 *
 * @module
 */

import type { CheckedText } from "./checkText.js";
import { formatFinding } from "./findings.js";

export interface SettingsFileOptions<Settings> {
    /** Reads and checks the file; never throws. */
    load(): CheckedText<Settings>;
    readonly settings: Settings;
    onChanged(settings: Settings): void;
    /** Called with the findings once they differ from the last ones, and with none once the file can be used again. */
    onFindings(findings: readonly string[]): void;
}

export interface SettingsFile {
    /** Reads the file again. */
    check(): void;
}

export function createSettingsFile<Settings>({ load, settings, onChanged, onFindings }: SettingsFileOptions<Settings>): SettingsFile {
    let appliedText = JSON.stringify(settings);
    let lastFindings = "";

    function updateFindings(findings: readonly string[]) {
        const text = findings.join("\n");
        if (text !== lastFindings) {
            lastFindings = text;
            onFindings(findings);
        }
    }

    return {
        check() {
            const loaded = load();
            if ("findings" in loaded) {
                updateFindings(loaded.findings.map(formatFinding));
                return;
            }
            updateFindings([]);
            const text = JSON.stringify(loaded.settings);
            if (text !== appliedText) {
                appliedText = text;
                onChanged(loaded.settings);
            }
        },
    };
}
