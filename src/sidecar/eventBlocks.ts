/**
 * Splits the text of server-sent events into the blocks between blank lines.
 *
 * @module
 */

const separator = "\n\n";

export interface BlockSplitter {
    /** Adds text and returns the blocks that it completes, without their blank lines. */
    push(text: string): string[];
    /** The length of the incomplete block. */
    readonly partialChars: number;
}

/** Creates a splitter for a new stream. The work for a text doesn't depend on the length of the incomplete block. */
export function createBlockSplitter(): BlockSplitter {
    let partial: string[] = [];
    let partialChars = 0;
    return {
        push(text) {
            const previousChar = partial.at(-1)?.at(-1) ?? "";
            if (!(previousChar + text).includes(separator)) {
                if (text !== "") {
                    partial.push(text);
                }
                partialChars += text.length;
                return [];
            }
            const blocks = [...partial, text].join("").split(separator);
            const rest = blocks.pop()!;
            partial = rest === "" ? [] : [rest];
            partialChars = rest.length;
            return blocks;
        },
        get partialChars() {
            return partialChars;
        },
    };
}
