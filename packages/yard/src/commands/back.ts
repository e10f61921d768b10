import { Command, Flags } from '@oclif/core';
import { BackHost } from '../backhost.js';

/** yard back */
export class BackCommand extends Command {
  static override description = 'Run one stand-in model server.';
  static override flags = {
    id: Flags.string({ required: true, description: 'its name' }),
    addr: Flags.string({ required: true, description: 'IP:PORT' }),
    slots: Flags.integer({ default: 8, min: 1, description: 'requests served at full pace at once' }),
    pace: Flags.integer({ default: 12, min: 1, description: 'ms a piece' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(BackCommand);
    await BackHost.make(flags);
  }
}
