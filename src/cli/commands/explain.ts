import { Args, Flags } from "@oclif/core";
import { readText } from "../../config/index.js";
import { ZinniaCommand } from "../baseCommand.js";
import { FindingsError, RefusedError } from "../errors.js";
import { explainRequest, type LogLine, readLogLines, toTableRow } from "../requestLog.js";
import { formatTable } from "../table.js";

function readLog(file: string): LogLine[] {
    const text = readText(file);
    if (text.value === undefined) {
        throw new FindingsError(text.findings);
    }
    return readLogLines(text.value);
}

/** Explains the outcome of a request from saved logs. */
export default class Explain extends ZinniaCommand {
    static override summary = "Explain the outcome of a request from the daemons' saved logs.";
    static override examples = ["<%= config.bin %> explain 9c41d07be2a35f68 --file entry-1.log --file control-1.log"];
    static override args = { requestId: Args.string({ description: "request id that the caller sent", required: true }) };
    static override flags = { file: Flags.string({ description: "saved log of a daemon", multiple: true, required: true }) };

    async run() {
        const { args, flags } = await this.parse(Explain);
        const explanation = explainRequest(args.requestId, flags.file.flatMap(readLog));
        if (explanation === undefined) {
            throw new RefusedError(`no line about request ${args.requestId} in these files`, "unknown-request");
        }
        const headings = ["time", "daemon", "what", "facts"];
        this.log(`${args.requestId}: ${explanation.verdict}`);
        this.log(`\n${formatTable(headings, explanation.own.map(toTableRow))}`);
        if (explanation.around.length > 0) {
            this.log(`\nits upstreams at that time\n${formatTable(headings, explanation.around.map(toTableRow))}`);
        }
        return { ...explanation };
    }
}
