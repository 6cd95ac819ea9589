/**
 * The validated request of a caller, as used by the runner and the request observer.
 *
 * @module
 */

import type { Organisation, Service, ServiceClass } from "../cluster/index.js";

/** A caller's request after authentication and validation. */
export interface CallerRequest {
    readonly organisation: Organisation;
    readonly serviceClass: ServiceClass;
    readonly service: Service;
    readonly model?: string;
    readonly prompt?: string;
    /** Ids of the parts of the prompt that other requests may have too. */
    readonly sharedParts?: readonly string[];
    readonly maxTokens?: number;
    /** Whether the caller reads the answer as a stream of server-sent events. */
    readonly eventStream?: boolean;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly { readonly name: string; readonly value: string }[];
    readonly body: Buffer;
    readonly idempotencyKey: string | undefined;
    /** The `Idempotent` header as sent. */
    readonly idempotent: string | undefined;
    readonly traceparent: string | undefined;
}
