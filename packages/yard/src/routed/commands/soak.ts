import { Command, Flags } from '@oclif/core';
import { RoutedPlant } from '../routedplant.js';
import { Soak } from '../soak.js';

const some = (n: number, what: string) => Flags.integer({ default: n, min: 1, description: what });

/** yard soak */
export class SoakCommand extends Command {
  static override description =
    'Real processes under signals, restarts and changes that overlap, seed after seed. Exits 1 if a promise is broken.';
  static override flags = {
    from: some(1, 'the first seed'),
    to: some(5, 'the last seed'),
    routers: some(4, 'how many routers'),
    clients: some(12, 'how many clients, each with a connection of its own'),
    seconds: some(15, 'how long faults strike'),
    shared: Flags.boolean({ default: false, description: 'each control replica stands in one process with a router' }),
    dir: Flags.string({ default: '.yard', description: 'the folder for settings, data and logs; emptied first' }),
    build: Flags.boolean({ default: true, allowNo: true, description: 'bundle the program first' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(SoakCommand);
    if (flags.build) await RoutedPlant.build();
    let broken = 0;
    for (let seed = flags.from; seed <= flags.to; seed++) {
      const size = { routers: flags.routers, clients: flags.clients, ms: flags.seconds * 1000, shared: flags.shared };
      const got = await Soak.run({ seed, ...size, dir: flags.dir });
      this.log(
        `seed ${seed}: ${got.changes} changes, answers ${JSON.stringify(got.counts)}, ${JSON.stringify(got.events)}`,
      );
      for (const fault of got.faults) this.log(`  ${fault}`);
      if (got.faults.length > 0) broken++;
    }
    this.log(`${flags.to - flags.from + 1} seeds, ${broken} broken`);
    this.exit(broken > 0 ? 1 : 0);
  }
}
