import { Args } from "@oclif/core";
import { addressSchema } from "../../../config/index.js";
import { OperatorsCommand } from "../../baseCommand.js";
import { UsageError } from "../../errors.js";

/** Adds a voter. */
export default class MemberAdd extends OperatorsCommand {
    static override summary = "Add a voter; it votes once it has caught up. A voter that lost its disk comes back under a new id.";
    static override examples = ["<%= config.bin %> member add entry-4 10.0.3.1:7400"];
    static override args = {
        id: Args.string({ description: "daemon id", required: true }),
        address: Args.string({ description: "address of its listener for other daemons, host:port", required: true }),
    };

    async run() {
        const { args, flags } = await this.parse(MemberAdd);
        if (!addressSchema.safeParse(args.address).success) {
            throw new UsageError(`expected host:port, found "${args.address}"`);
        }
        await this.withClient(flags, client => client.post("/v1/voters/add", { id: args.id, address: args.address }));
        this.log(`voter ${args.id} added`);
        return { id: args.id, address: args.address };
    }
}
