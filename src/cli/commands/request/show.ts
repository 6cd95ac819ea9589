import { Args } from "@oclif/core";
import { requestSchema } from "../../api.js";
import { OperatorsCommand } from "../../baseCommand.js";
import { formatTable } from "../../table.js";

/** Shows the stored state of a request that may run at most once. */
export default class RequestShow extends OperatorsCommand {
    static override summary = "Show the state of a non-idempotent request: in progress, delivered or unknown.";
    static override examples = ["<%= config.bin %> request show studio-maipu print-20260301-17"];
    static override args = {
        organisation: Args.string({ description: "organisation", required: true }),
        key: Args.string({ description: "Idempotency-Key of the request", required: true }),
    };

    async run() {
        const { args, flags } = await this.parse(RequestShow);
        const path = `/v1/requests/${encodeURIComponent(args.organisation)}/${encodeURIComponent(args.key)}`;
        const claim = await this.withClient(flags, client => client.get(path, requestSchema));
        // The stored answer is private to the caller; operators see only its size.
        const { body, ...shown } = claim;
        const rows = Object.entries({ ...shown, ...(typeof body === "string" ? { answer: `${body.length} characters, base64` } : {}) });
        this.log(formatTable(["field", "value"], rows.map(([name, value]) => [name, typeof value === "object" ? JSON.stringify(value) : String(value)])));
        return shown;
    }
}
