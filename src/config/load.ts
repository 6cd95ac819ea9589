/**
 * Reads a daemon's settings from its INI file. One pass reports every problem: in the syntax, in the keys and their values, and in
 * the rules between sections.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { checkText, type CheckedText, type RawSettings as RawSections, type Rule as SectionRule } from "./checkText.js";
import type { Checked } from "./findings.js";
import { addressSchema, type Settings, settingsSchema } from "./settings.js";

/** The settings of a file, or every problem found in it. */
export type LoadedSettings = CheckedText<Settings>;

type SectionName = keyof Settings;
type RawSettings = RawSections<SectionName>;

const loopbackPattern = /^(?:127\.\d+\.\d+\.\d+|localhost):/;

type Rule = SectionRule<SectionName>;

function hasRole(raw: RawSettings, role: string): boolean {
    const roles = raw.daemon?.roles;
    return Array.isArray(roles) && roles.includes(role);
}

function roleRequiresSection(role: string, required: SectionName): Rule {
    return raw => hasRole(raw, role) && raw[required] === undefined
        ? [{ section: "daemon", key: "roles", expected: `a section [${required}] for the role ${role}`, found: "nothing" }]
        : [];
}

const controlRequiresDataFolder: Rule = raw => hasRole(raw, "control") && raw.daemon?.dataFolder === undefined
    ? [{ section: "daemon", key: "data_folder", expected: "a folder on a disk, for the role control", found: "nothing" }]
    : [];

const plaintextRequiresOptIn: Rule = raw => {
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

const singleTraceExporter: Rule = raw => raw.telemetry?.tracesFile !== undefined && raw.telemetry.tracesUrl !== undefined
    ? [{ section: "telemetry", key: "traces_url", expected: "traces_file or traces_url, not both", found: "both" }]
    : [];

const rules: readonly Rule[] = [
    roleRequiresSection("entry", "callers"),
    roleRequiresSection("control", "operators"),
    roleRequiresSection("sidecar", "vm"),
    controlRequiresDataFolder,
    plaintextRequiresOptIn,
    singleTraceExporter,
];

/** Checks the text of a settings file; `file` is the file name in the findings. */
export function checkSettings(file: string, text: string): LoadedSettings {
    return checkText(file, text, settingsSchema, rules);
}

/** Reads a text file; reports a file that can't be read as a finding. */
export function readText(file: string): Checked<string> {
    try {
        return { value: readFileSync(file, "utf8") };
    }
    catch (error) {
        return { findings: [{ file, line: 1, expected: "a readable file", found: (error as Error).message }] };
    }
}

/** Reads and checks a settings file; never throws because of its content. */
export function loadSettings(file: string): LoadedSettings {
    const text = readText(file);
    return text.value === undefined ? { findings: text.findings ?? [] } : checkSettings(file, text.value);
}
