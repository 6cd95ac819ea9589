/**
 * What a caller asks for, checked: what the runner and whoever observes it take.
 *
 * @module
 */

import type { Organisation, Service, ServiceClass } from "../cluster/index.js";

/** What a caller asks for, checked. */
export interface Ask {
    readonly organisation: Organisation;
    readonly serviceClass: ServiceClass;
    readonly service: Service;
    readonly model?: string;
    readonly prompt?: string;
    readonly maxTokens?: number;
    /** The caller reads the answer as a stream of events. */
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
