/**
 * Reads the body of an answer whose sender may never end it.
 *
 * @module
 */

export class BodyTooLargeError extends Error {
    override name = "BodyTooLargeError";
}

/** Reads a body of `maxBytes` at most as UTF-8. Throws `BodyTooLargeError` and closes the source if there is more. */
export async function readBoundedText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            throw new BodyTooLargeError(`the body is larger than ${maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
