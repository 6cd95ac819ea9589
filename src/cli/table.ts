/**
 * Plain-text tables for terminals: each column is as wide as its widest cell, without border lines, so that `awk` can read them too.
 *
 * @module
 */

export type Cell = string | number | boolean | undefined;

function formatCell(cell: Cell): string {
    return cell === undefined || cell === "" ? "-" : typeof cell === "boolean" ? (cell ? "yes" : "no") : String(cell);
}

/** Formats rows under their headings; numeric columns are right-aligned. */
export function formatTable(headings: readonly string[], rows: readonly (readonly Cell[])[]): string {
    const texts = [headings, ...rows.map(row => row.map(formatCell))];
    const widths = headings.map((_, column) => Math.max(...texts.map(row => row[column]!.length)));
    const isNumeric = headings.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] === "number" || row[column] === undefined));
    return texts
        .map(row => row.map((text, column) => isNumeric[column] ? text.padStart(widths[column]!) : text.padEnd(widths[column]!)))
        .map(row => row.join("  ").trimEnd())
        .join("\n");
}

/** Formats milliseconds as seconds with one decimal. */
export function formatSeconds(ms: number): string {
    return `${(ms / 1_000).toFixed(1)} s`;
}
