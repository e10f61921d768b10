import { Command, Flags } from '@oclif/core';
import { ModelCheck } from '../modelcheck/modelcheck.js';

/** sim model */
export class ModelCommand extends Command {
  static override description =
    'Explore the model of views, votes, leases and the chain, nearest states first. Exits 1 if an invariant breaks.';
  static override examples = ['<%= config.bin %> model --members 3 --depth 9 --states 1000000 --crash 2 --propose 2'];
  static override flags = {
    members: Flags.integer({ default: 3, min: 3, max: 5, description: 'members of the core' }),
    begin: Flags.string({ default: 'level', options: ['level', 'behind'], description: 'all level, or some behind' }),
    depth: Flags.integer({ default: 7, min: 1, description: 'steps from the first state' }),
    states: Flags.integer({ default: 500_000, min: 1, description: 'states kept at the most' }),
    crash: Flags.integer({ default: 1, min: 0, description: 'stops of a member' }),
    wipe: Flags.integer({ default: 1, min: 0, description: 'disks lost' }),
    cut: Flags.integer({ default: 1, min: 0, description: 'cuts of one member' }),
    write: Flags.integer({ default: 1, min: 0, description: 'writes' }),
    propose: Flags.integer({ default: 2, min: 0, description: 'views proposed' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ModelCommand);
    const { crash, wipe, cut, write, propose } = flags;
    const found = ModelCheck.run({
      ...{ members: flags.members === 5 ? 5 : 3, begin: flags.begin === 'behind' ? 'behind' : 'level' },
      ...{ depth: flags.depth, states: flags.states, left: { crash, wipe, cut, write, propose } },
    });
    const reach = found.whole ? 'all states' : 'not all states';
    this.log(`${found.states} states, depth ${found.depth}, ${reach} within the depth`);
    if (found.broken === null) return;
    this.log([found.broken, ...found.path].join('\n    '));
    this.exit(1);
  }
}
