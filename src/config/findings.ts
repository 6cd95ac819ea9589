/**
 * Findings: problems in a file, each with its location. A reader collects all of them and reports them together, so that an
 * operator can correct a file in one go.
 *
 * @module
 */

/** One problem in a file. */
export interface Finding {
    readonly file: string;
    /** Counted from 1. A finding about a missing item has the line of the section that lacks it, or 1. */
    readonly line: number;
    readonly section?: string;
    readonly key?: string;
    readonly expected: string;
    readonly found: string;
}

/** Formats a finding as a line of text, starting with `file:line:` so that editors can jump to it. */
export function formatFinding(finding: Finding): string {
    const location = [
        `${finding.file}:${finding.line}:`,
        ...(finding.section === undefined ? [] : [`[${finding.section}]`]),
        ...(finding.key === undefined ? [] : [`${finding.key}:`]),
    ];
    return `${location.join(" ")} expected ${finding.expected}; found ${finding.found}`;
}

/** Sorts findings by line. */
export function sortFindings(findings: readonly Finding[]): Finding[] {
    return [...findings].sort((a, b) => a.line - b.line);
}

/** A checked value, or the findings that made it invalid. */
export type Checked<Value> =
    | { readonly value: Value; readonly findings?: undefined }
    | { readonly value?: undefined; readonly findings: readonly Finding[] };
