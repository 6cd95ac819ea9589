import { Args } from "@oclif/core";
import { OperatorsCommand } from "../../baseCommand.js";

/** Removes a voter. */
export default class MemberRemove extends OperatorsCommand {
    static override summary = "Remove a voter for good; its id is not used again.";
    static override examples = ["<%= config.bin %> member remove entry-2"];
    static override args = { id: Args.string({ description: "daemon id", required: true }) };

    async run() {
        const { args, flags } = await this.parse(MemberRemove);
        await this.withClient(flags, client => client.post("/v1/voters/remove", { id: args.id }));
        this.log(`voter ${args.id} removed`);
        return { id: args.id };
    }
}
