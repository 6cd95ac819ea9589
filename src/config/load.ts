/**
 * Reads a daemon's settings from its INI file. Everything that is wrong is found in one pass: the text, the keys and their values,
 * and what sections need of each other.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { checkText, type CheckedText, type RawSettings as RawSections, type Rule as SectionRule } from "./checkText.js";
import type { Checked } from "./findings.js";
import { addressSchema, type Settings, settingsSchema } from "./settings.js";

/** The settings of a file, or everything that is wrong with it. */
export type LoadedSettings = CheckedText<Settings>;

type SectionName = keyof Settings;
type RawSettings = RawSections<SectionName>;

const loopbackPattern = /^(?:127\.\d+\.\d+\.\d+|localhost):/;

type Rule = SectionRule<SectionName>;

function hasRole(raw: RawSettings, role: string): boolean {
    const roles = raw.daemon?.roles;
    return Array.isArray(roles) && roles.includes(role);
}

function roleNeeds(role: string, needed: SectionName): Rule {
    return raw => hasRole(raw, role) && raw[needed] === undefined
        ? [{ section: "daemon", key: "roles", expected: `a section [${needed}] beside the role ${role}`, found: "nothing" }]
        : [];
}

const controlNeedsDataFolder: Rule = raw => hasRole(raw, "control") && raw.daemon?.dataFolder === undefined
    ? [{ section: "daemon", key: "data_folder", expected: "a folder on a disk, for the role control", found: "nothing" }]
    : [];

const plaintextIsChosen: Rule = raw => {
    if (raw.tls !== undefined || raw.daemon?.allowPlaintext === true) {
        return [];
    }
    return (["rpc", "callers", "operators"] as const)
        .filter(section => addressSchema.safeParse(raw[section]?.listen).success && !loopbackPattern.test(String(raw[section]!.listen)))
        .map(section => ({
            section,
            key: "listen",
            expected: "a loopback address, a section [tls], or allow_plaintext = true in [daemon]",
            found: JSON.stringify(raw[section]!.listen),
        }));
};

const oneTraceExporter: Rule = raw => raw.telemetry?.tracesFile !== undefined && raw.telemetry.tracesUrl !== undefined
    ? [{ section: "telemetry", key: "traces_url", expected: "traces_file or traces_url, not both", found: "both" }]
    : [];

const rules: readonly Rule[] = [
    roleNeeds("entry", "callers"),
    roleNeeds("control", "operators"),
    roleNeeds("sidecar", "vm"),
    controlNeedsDataFolder,
    plaintextIsChosen,
    oneTraceExporter,
];

/** Checks the text of a settings file; `file` names it in the findings. */
export function checkSettings(file: string, text: string): LoadedSettings {
    return checkText(file, text, settingsSchema, rules);
}

/** Reads a text file; a file that can't be read is a finding. */
export function readText(file: string): Checked<string> {
    try {
        return { value: readFileSync(file, "utf8") };
    }
    catch (error) {
        return { findings: [{ file, line: 1, expected: "a readable file", found: (error as Error).message }] };
    }
}

/** Reads and checks a settings file; never throws for what is in it. */
export function loadSettings(file: string): LoadedSettings {
    const text = readText(file);
    return text.value === undefined ? { findings: text.findings ?? [] } : checkSettings(file, text.value);
}
