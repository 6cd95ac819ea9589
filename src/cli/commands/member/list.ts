import { votersSchema } from "../../api.js";
import { OperatorsCommand } from "../../baseCommand.js";
import { formatTable } from "../../table.js";

/** Shows the voters of a region's quorum. */
export default class MemberList extends OperatorsCommand {
    static override summary = "Show the voters of the region's quorum.";
    static override examples = ["<%= config.bin %> member list"];

    async run() {
        const { flags } = await this.parse(MemberList);
        const list = await this.withClient(flags, client => client.get("/v1/voters", votersSchema, answer => answer.leads));
        this.log(formatTable(["voter", "address", "votes"], list.voters.map(voter => [voter.id, voter.address, voter.voting])));
        return list;
    }
}
