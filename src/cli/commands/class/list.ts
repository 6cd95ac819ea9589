import { configurationViewSchema } from "../../api.js";
import { OperatorsCommand } from "../../baseCommand.js";
import { formatTable } from "../../table.js";

/** Shows the classes of work and their targets. */
export default class ClassList extends OperatorsCommand {
    static override summary = "Show the classes of work and their targets.";
    static override examples = ["<%= config.bin %> class list"];

    async run() {
        const { flags } = await this.parse(ClassList);
        const view = await this.withClient(flags, client => client.get("/v1/configuration", configurationViewSchema));
        const { classes } = view.configuration;
        const rows = classes.map(item =>
            [item.name, item.service, item.latenessMs, item.betweenTokensMs, item.deadlineMs, item.deliveryShare, item.idempotent]);
        this.log(formatTable(["class", "service", "lateness ms", "between tokens ms", "deadline ms", "delivery share", "idempotent"], rows));
        return { classes };
    }
}
