import { Args, Flags } from "@oclif/core";
import { z } from "zod";
import { serviceClassSchema } from "../../../cluster/configuration.js";
import { configurationViewSchema } from "../../api.js";
import { ChangeCommand } from "../../baseCommand.js";
import { UsageError } from "../../errors.js";

/** Changes the targets of a class, or adds a class. */
export default class ClassSet extends ChangeCommand {
    static override summary = "Change the targets of a class; targets that are not given are kept. A new class needs its service and targets.";
    static override examples = ["<%= config.bin %> class set counter-caption --lateness-ms 400 --delivery-share 0.995 --wait"];
    static override args = { name: Args.string({ description: "class", required: true }) };
    static override flags = {
        service: Flags.string({ description: "service that handles the requests of the class" }),
        "lateness-ms": Flags.integer({ description: "target for the first token, or for a plain service's whole answer" }),
        "between-tokens-ms": Flags.integer({ description: "target between tokens" }),
        "deadline-ms": Flags.integer({ description: "time after which an answer is no longer useful" }),
        "delivery-share": Flags.string({ description: "share of accepted requests to deliver in time, above 0 and at most 1" }),
        idempotent: Flags.boolean({ description: "whether requests may be repeated", allowNo: true }),
    };

    async run() {
        const { args, flags } = await this.parse(ClassSet);
        const share = flags["delivery-share"];
        const fields = {
            service: flags.service,
            latenessMs: flags["lateness-ms"],
            betweenTokensMs: flags["between-tokens-ms"],
            deadlineMs: flags["deadline-ms"],
            deliveryShare: share === undefined ? undefined : Number(share),
            idempotent: flags.idempotent,
        };
        const overrides = Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
        return this.withClient(flags, async client => {
            const view = await client.get("/v1/configuration", configurationViewSchema);
            const current = view.configuration.classes.find(item => item.name === args.name);
            const checked = serviceClassSchema.safeParse({ ...current, ...overrides, name: args.name });
            if (!checked.success) {
                throw new UsageError(`class ${args.name}:\n${z.prettifyError(checked.error)}`);
            }
            return this.change(client, flags, view.version, [{ kind: "set-class", class: checked.data }]);
        });
    }
}
