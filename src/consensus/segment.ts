/**
 * The format of records on disk: a magic number, the length, a CRC-32 and the content. Each write is one record, so a write that a
 * crash interrupted leaves one invalid record at the very end of the newest segment. It is truncated, as nothing in it was
 * acknowledged. An invalid record before a valid one was once complete on disk; it is corruption and is rejected.
 *
 * @module
 */

import { crc32 } from "node:zlib";

/** Starts each record; a reader can use it to find records after a damaged one. */
const recordMagic = 0x5a_4c_52_31;
const headerBytes = 12;

/** Thrown when a file's content is damaged. The voter must not start from it. */
export class CorruptionError extends Error {
    override name = "CorruptionError";

    constructor(readonly file: string, readonly offsetBytes: number, readonly reason: string) {
        super(`${file} is damaged at byte ${offsetBytes}: ${reason}`);
    }
}

/** Encodes one record. */
export function encodeRecord(content: Uint8Array): Buffer {
    const record = Buffer.allocUnsafe(headerBytes + content.byteLength);
    record.writeUInt32BE(recordMagic, 0);
    record.writeUInt32BE(content.byteLength, 4);
    record.writeUInt32BE(crc32(content), 8);
    record.set(content, headerBytes);
    return record;
}

/** Returns the content of the record at `offsetBytes`; undefined when there is no complete, valid one. */
function recordAt(bytes: Buffer, offsetBytes: number): Buffer | undefined {
    if (offsetBytes + headerBytes > bytes.byteLength || bytes.readUInt32BE(offsetBytes) !== recordMagic) {
        return undefined;
    }
    const endBytes = offsetBytes + headerBytes + bytes.readUInt32BE(offsetBytes + 4);
    if (endBytes > bytes.byteLength) {
        return undefined;
    }
    const content = bytes.subarray(offsetBytes + headerBytes, endBytes);
    return crc32(content) === bytes.readUInt32BE(offsetBytes + 8) ? content : undefined;
}

function hasValidRecordAfter(bytes: Buffer, offsetBytes: number): boolean {
    const magic = Buffer.alloc(4);
    magic.writeUInt32BE(recordMagic);
    let candidateBytes = bytes.indexOf(magic, offsetBytes + 1);
    while (candidateBytes >= 0) {
        if (recordAt(bytes, candidateBytes) !== undefined) {
            return true;
        }
        candidateBytes = bytes.indexOf(magic, candidateBytes + 1);
    }
    return false;
}

export interface SegmentContent {
    readonly records: readonly Buffer[];
    /** Offset at which the valid records end; anything after it is an interrupted write. */
    readonly validBytes: number;
}

/** Decodes a segment. Only the newest one may end in a torn record. */
export function decodeSegment(file: string, bytes: Buffer, isNewest: boolean): SegmentContent {
    const records: Buffer[] = [];
    let offsetBytes = 0;
    while (offsetBytes < bytes.byteLength) {
        const content = recordAt(bytes, offsetBytes);
        if (content === undefined) {
            break;
        }
        records.push(content);
        offsetBytes += headerBytes + content.byteLength;
    }
    if (offsetBytes === bytes.byteLength) {
        return { records, validBytes: offsetBytes };
    }
    if (!isNewest) {
        throw new CorruptionError(file, offsetBytes, "a closed segment ends in an invalid record");
    }
    if (hasValidRecordAfter(bytes, offsetBytes)) {
        throw new CorruptionError(file, offsetBytes, "an invalid record precedes a valid one");
    }
    return { records, validBytes: offsetBytes };
}
