/**
 * The ways in which an attempt brings no answer.
 *
 * @module
 */

export interface UpstreamAnswer {
    readonly status: number;
    readonly rawHeaders: string[];
    readonly body: Buffer;
}

/** Why an attempt brought no answer, classified by whether the request may have run. */
export type AttemptFailure =
    /** The request has certainly not run and will not. `isUnsent`: no byte of it was sent to the upstream. */
    | { readonly kind: "not-run"; readonly reason: string; readonly isUpstreamAtFault: boolean; readonly isUnsent: boolean }
    /** The request may have run, and no usable answer came. `isCrash`: the connection broke, as it does when the upstream crashes. */
    | { readonly kind: "unknown"; readonly reason: string; readonly isCrash: boolean }
    /** The upstream ran the request and reports a failure. */
    | { readonly kind: "ran-failed"; readonly answer: UpstreamAnswer };
