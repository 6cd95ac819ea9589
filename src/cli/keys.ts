/**
 * Keys of organisations. A key is generated here, shown once and stored only as a hash, so that nobody can recover a key from a
 * copy of the quorum's data.
 *
 * @module
 */

import { createHash, randomBytes } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

/** 256 random bits can't be guessed, so storing an unsalted hash is safe. */
const keyBytes = 32;

/** Readable and writable only by the owner. */
const keyFileMode = 0o600;

export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** Generates a key; log redaction recognises keys by the prefix. */
export function createKey(): string {
    return `zk_${randomBytes(keyBytes).toString("base64url")}`;
}

/**
 * Reads the key in `file`. If the file doesn't exist, generates a key and writes it there before anything is sent. A resend after a
 * lost answer then reads the same key, so the change is identical and is applied once; a newly generated key would conflict with it.
 */
export function readOrCreateKey(file: string | undefined): string {
    if (file !== undefined && existsSync(file)) {
        return readFileSync(file, "utf8").trim();
    }
    const key = createKey();
    if (file !== undefined) {
        writeFileSync(file, `${key}\n`, { mode: keyFileMode, flag: "wx" });
    }
    return key;
}
