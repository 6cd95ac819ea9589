import { Args, Flags } from "@oclif/core";
import { readText } from "../../config/index.js";
import { type SpanRecord, spanRecordSchema } from "../../telemetry/index.js";
import { ZinniaCommand } from "../baseCommand.js";
import { FindingsError, RefusedError } from "../errors.js";
import { findTrace, formatTrace } from "../traceTree.js";

/** Reads the spans in a traces file; skips invalid lines, because the last line may still be being written. */
function readSpans(file: string): SpanRecord[] {
    const text = readText(file);
    if (text.value === undefined) {
        throw new FindingsError(text.findings);
    }
    return text.value.split("\n").flatMap(line => {
        try {
            return [spanRecordSchema.parse(JSON.parse(line))];
        }
        catch {
            return [];
        }
    });
}

/** Shows the hops of a request through the daemons. */
export default class Trace extends ZinniaCommand {
    static override summary = "Show one request's hops as a tree, from the daemons' traces files.";
    static override examples = ["<%= config.bin %> trace 6f1c --file entry-1.spans --file sidecar-7.spans"];
    static override args = { requestId: Args.string({ description: "request id from the response header", required: true }) };
    static override flags = { file: Flags.string({ description: "traces file of a daemon", multiple: true, required: true }) };

    async run() {
        const { args, flags } = await this.parse(Trace);
        const nodes = findTrace(args.requestId, flags.file.flatMap(readSpans));
        if (nodes.length === 0) {
            throw new RefusedError(`no hop of request ${args.requestId} in these files`, "unknown-request");
        }
        this.log(formatTrace(nodes));
        return { traces: nodes };
    }
}
