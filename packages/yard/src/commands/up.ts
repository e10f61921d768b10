import { Command, Flags } from '@oclif/core';
import { Deployments } from '@pumicebarrow/sim';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { Plant } from '../plant.js';

/** yard up */
export class UpCommand extends Command {
  static override description = 'Bring up a whole fleet and keep it until interrupted.';
  static override flags = {
    fleet: Flags.option({ options: ['coop', 'registry'] as const, default: 'coop' as const })({
      description: 'which deployment',
    }),
    dir: Flags.string({ default: '.yard', description: 'the folder for data and logs; emptied first' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(UpCommand);
    const d = Deployments[flags.fleet];
    const plant = await Plant.make(d, flags.dir);
    await plant.start();
    const file = join(flags.dir, 'charter.json');
    await writeFile(file, `${JSON.stringify(d.charter, null, 2)}\n`);
    this.log(`A fleet of ${d.cores} cores, ${d.edges} edges and ${d.servers} servers is up; logs are in ${flags.dir}.`);
    this.log(`A charter to begin with: ${file}`);
    for (const x of [...plant.cores, ...plant.edges]) this.log(`  ${x.id} at ${x.site}: http://${x.http}`);
    this.log(`export PUMICEBARROW_AT=${plant.edges[0]!.http}`);
    await new Promise<void>((done) => {
      process.once('SIGINT', () => done());
      process.once('SIGTERM', () => done());
    });
    this.log('Stopping.');
    await plant.stop();
    this.exit(0);
  }
}
