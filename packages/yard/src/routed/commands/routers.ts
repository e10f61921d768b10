import { Command, Flags } from '@oclif/core';
import { RoutedPlant } from '../routedplant.js';

const some = (n: number, least: number, what: string) => Flags.integer({ default: n, min: least, description: what });

/** yard routers */
export class RoutersCommand extends Command {
  static override description =
    'Bring up routers and replicas with stand-in servers and keep them until interrupted (Linux: 127.0.0.10 and on).';
  static override flags = {
    routers: some(3, 1, 'how many routers'),
    prefill: some(2, 1, 'how many stand-in servers read prompts'),
    decode: some(2, 1, 'how many stand-in servers decode'),
    dir: Flags.string({ default: '.yard', description: 'the folder for settings, data and logs; emptied first' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RoutersCommand);
    await RoutedPlant.build();
    const size = { replicas: 3, routers: flags.routers, prefill: flags.prefill, decode: flags.decode };
    const plant = await RoutedPlant.make(size, flags.dir);
    await plant.start();
    const servers = size.prefill + size.decode;
    this.log(
      `${size.replicas} replicas, ${size.routers} routers and ${servers} servers are up; logs are in ${flags.dir}.`,
    );
    for (const d of [...plant.replicas, ...plant.routers])
      this.log(
        `  ${d.id.padEnd(3)} ${d.role}: ${d.addr}, ${d.role === 'control' ? 'operators' : 'clients'} at ${d.front}`,
      );
    this.log(`A configuration to begin with: ${plant.configuration}`);
    this.log(`One request: ${plant.call('first-1')}`);
    this.log(`export PUMICEBARROW_DAEMONS=${[plant.replicas[0]!, plant.routers[0]!].map((d) => d.addr).join(',')}`);
    await new Promise<void>((done) => {
      process.once('SIGINT', () => done());
      process.once('SIGTERM', () => done());
    });
    this.log('Stopping.');
    await plant.stop();
    this.exit(0);
  }
}
