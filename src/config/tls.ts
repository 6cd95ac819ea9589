/**
 * The certificates of a daemon, read from the files in its settings and reloaded on request. Unusable certificates are never
 * applied: a half-written file, or a key that doesn't match its certificate, would close every listener at once.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { Settings } from "./settings.js";

type TlsSettings = NonNullable<Settings["tls"]>;

/** A usable certificate with its key and authority, in PEM. */
export interface Certificates {
    readonly cert: string;
    readonly key: string;
    /** The certificate authority that peers are verified against. */
    readonly ca: string;
}

/** The certificate files are unusable; the message names them and never includes their content. */
export class CertificateError extends Error {
    override readonly name = "CertificateError";
}

export interface CertificateStore {
    readonly current: Certificates;
    /** Reloads the files. Throws a `CertificateError` and keeps the current certificates if the files are unusable. */
    reload(): Certificates;
}

function readCertificates(settings: TlsSettings): Certificates {
    const files = `${settings.certificateFile}, ${settings.keyFile}, ${settings.authorityFile}`;
    try {
        const read = (file: string) => readFileSync(file, "utf8");
        const certificates = { cert: read(settings.certificateFile), key: read(settings.keyFile), ca: read(settings.authorityFile) };
        createSecureContext(certificates);
        return certificates;
    }
    catch (error) {
        throw new CertificateError(`unusable certificates in ${files}: ${(error as Error).message}`);
    }
}

/** Reads the certificates. Throws a `CertificateError` if they are unusable. */
export function createCertificateStore(settings: TlsSettings): CertificateStore {
    let current = readCertificates(settings);
    return {
        get current() {
            return current;
        },
        reload() {
            current = readCertificates(settings);
            return current;
        },
    };
}
