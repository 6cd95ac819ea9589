/**
 * Reads the operators' configuration from an INI file: [class NAME], [service NAME], [organisation NAME], [data-centre NAME]. The
 * file is declarative: it never names a VM, an address or a weight, and the schemas have no fields for them.
 *
 * @module
 */

import { safe } from "ini";
import type { z } from "zod";
import {
    type Configuration,
    validateConfiguration,
    dataCentreSchema,
    organisationSchema,
    serviceClassSchema,
    serviceSchema,
} from "../cluster/configuration.js";
import { type Checked, type Finding, sortFindings } from "./findings.js";
import { type IniFile, type IniSection, readIni } from "./iniFile.js";
import { issueFinding, readSection, toIniKey } from "./section.js";

/** Schemas with the fields that a file may omit; an omitted field keeps the value that the quorum stores. */
const partialSchemas = {
    organisation: organisationSchema.partial({ keyHashes: true }),
    dataCentre: dataCentreSchema.extend({ drained: dataCentreSchema.shape.drained.unwrap().optional() }),
};

const sectionKinds = {
    class: { list: "classes", schema: serviceClassSchema },
    service: { list: "services", schema: serviceSchema },
    organisation: { list: "organisations", schema: partialSchemas.organisation },
    "data-centre": { list: "dataCentres", schema: partialSchemas.dataCentre },
} as const;

type SectionKind = keyof typeof sectionKinds;
type ListName = keyof Configuration;

/** The content of a configuration file. Key hashes and drained marks are absent where the file omits them. */
export interface DeclaredConfiguration extends Pick<Configuration, "classes" | "services"> {
    readonly organisations: readonly z.infer<typeof partialSchemas.organisation>[];
    readonly dataCentres: readonly z.infer<typeof partialSchemas.dataCentre>[];
}

const sectionPattern = /^(class|service|organisation|data-centre)\s+(\S.*)$/;

function parseSectionName(section: IniSection): { kind: SectionKind; name: string } | undefined {
    const match = sectionPattern.exec(section.name);
    return match ? { kind: match[1] as SectionKind, name: match[2]! } : undefined;
}

/** Whether a text holds a configuration rather than a daemon's settings. */
export function isConfigurationText(text: string): boolean {
    return [...readIni("", text).sections.values()].some(section => parseSectionName(section) !== undefined);
}

/** The fields that are written as keys; the name is part of the section header. */
function keyFields(shape: Readonly<Record<string, z.core.$ZodType>>) {
    return Object.fromEntries(Object.entries(shape).filter(([field]) => field !== "name"));
}

/** The findings that the quorum would report, each with the line of its section or key. */
function consistencyFindings(ini: IniFile, declared: DeclaredConfiguration): Finding[] {
    return validateConfiguration(mergeWithCurrent(declared, undefined)).map(text => {
        const [, list, name, key, found] = /^(\w+)\.(.+)\.(\w+): (.*)$/.exec(text) ?? [];
        const kind = (Object.keys(sectionKinds) as SectionKind[]).find(item => sectionKinds[item].list === list);
        const section = ini.sections.get(`${kind} ${name}`);
        const entry = section?.entries.get(key ?? "");
        return {
            file: ini.file,
            line: entry?.line ?? section?.line ?? 1,
            section: section?.name,
            key: entry?.key,
            expected: "a consistent configuration",
            found: found ?? text,
        };
    });
}

/** Checks the text of a configuration file; `file` is the file name in the findings. */
export function checkConfiguration(file: string, text: string): Checked<DeclaredConfiguration> {
    const ini = readIni(file, text);
    const findings: Finding[] = [...ini.findings];
    const lists: Record<ListName, unknown[]> = { classes: [], services: [], organisations: [], dataCentres: [] };
    for (const section of ini.sections.values()) {
        const header = parseSectionName(section);
        if (header === undefined) {
            const expected = `[${Object.keys(sectionKinds).join(" NAME], [")} NAME]`;
            findings.push({ file, line: section.line, section: section.name, expected, found: "an unknown section" });
            continue;
        }
        const { list, schema } = sectionKinds[header.kind];
        const read = readSection(file, section, keyFields(schema.shape));
        const checked = schema.safeParse({ ...read.raw, name: header.name });
        findings.push(...read.findings, ...(checked.error?.issues ?? []).map(issue => issueFinding(file, section.name, section, issue)));
        lists[list].push(checked.data);
    }
    // Consistency can't be checked while a section is invalid, because its content is unknown.
    const declared = lists as unknown as DeclaredConfiguration;
    const allFindings = findings.length > 0 ? findings : consistencyFindings(ini, declared);
    return allFindings.length > 0 ? { findings: sortFindings(allFindings) } : { value: declared };
}

function compareNames(a: { name: string }, b: { name: string }): number {
    return a.name < b.name ? -1 : 1;
}

/**
 * Completes a declared configuration: key hashes and drained marks that the file omits are taken from `current`. Organisations that
 * the file doesn't name are kept: their keys are stored nowhere else, and dropping them would lock their callers out.
 */
export function mergeWithCurrent(declared: DeclaredConfiguration, current: Configuration | undefined): Configuration {
    const undeclaredOrganisations = (current?.organisations ?? [])
        .filter(item => !declared.organisations.some(named => named.name === item.name));
    const organisations = declared.organisations.map(item => ({
        ...item,
        keyHashes: item.keyHashes ?? current?.organisations.find(existing => existing.name === item.name)?.keyHashes ?? [],
    }));
    const dataCentres = declared.dataCentres.map(item => ({
        ...item,
        drained: item.drained ?? current?.dataCentres.find(existing => existing.name === item.name)?.drained ?? false,
    }));
    return {
        classes: [...declared.classes].sort(compareNames),
        services: [...declared.services].sort(compareNames),
        organisations: [...undeclaredOrganisations, ...organisations].sort(compareNames),
        dataCentres: dataCentres.sort(compareNames),
    };
}

/** Formats the value of a field; the library quotes it where necessary. */
function formatValue(value: unknown): string {
    return safe(Array.isArray(value) ? value.join(", ") : String(value));
}

/** Formats a configuration as the text of a file; `checkConfiguration` reads it back unchanged. */
export function formatConfiguration(configuration: Configuration): string {
    const sections = (Object.keys(sectionKinds) as SectionKind[]).flatMap(kind => configuration[sectionKinds[kind].list].map(item => {
        const { name, ...fields } = item;
        const entries = Object.entries(fields).filter(([, value]) => value !== undefined);
        return [`[${kind} ${name}]`, ...entries.map(([field, value]) => `${toIniKey(field)} = ${formatValue(value)}`)].join("\n");
    }));
    return `${sections.join("\n\n")}\n`;
}
