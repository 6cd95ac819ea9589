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

/** Adds text and joins the parts at the end that are no longer than the next: there are few parts then, however short the texts are. */
function addPart(parts: string[], text: string) {
    parts.push(text);
    while (parts.length > 1 && parts.at(-2)!.length <= parts.at(-1)!.length) {
        // A joined array is one flat string; a sum would keep both parts.
        parts.push(parts.splice(-2).join(""));
    }
}

/** Creates a splitter for a new stream. The work for a text hardly depends on the length of the incomplete block. */
export function createBlockSplitter(): BlockSplitter {
    let partial: string[] = [];
    let partialChars = 0;
    return {
        push(text) {
            const previousChar = partial.at(-1)?.at(-1) ?? "";
            if (!(previousChar + text).includes(separator)) {
                if (text !== "") {
                    addPart(partial, text);
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
