import { FileDisk, Machine, Meters, Program, SettingsReader } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { CoreMeter, Registrar } from '@pumicebarrow/registry';
import { CoreHttpServer } from './corefront.js';
import { Settings } from './settings.js';

/** Command-line options. */
const OPTIONS = [
  { name: 'id', help: 'id of the daemon', kind: 'text' },
  { name: 'addr', help: 'IP:PORT at which other daemons reach it', kind: 'text' },
  { name: 'hear', help: 'IP:PORT to listen on, if different from addr', kind: 'text' },
  { name: 'http', help: 'IP:PORT that serves /health and /metrics; without it neither is served', kind: 'text' },
  { name: 'site', help: 'zone of the daemon', kind: 'text' },
  {
    name: 'seeds',
    help: 'IP:PORT of another daemon, including the other core daemons; at least three are required',
    kind: 'list',
  },
  { name: 'data', help: 'data folder', kind: 'text' },
  { name: 'level', help: 'log level: debug, info or warn', kind: 'text' },
] as const;

/** Entry point of registryd: runs a core daemon with the real clock, network and disk. */
export const Main = {
  async run(argv: readonly string[]): Promise<void> {
    const settings = await Program.settings('registryd', 'a core daemon of pumicebarrow', OPTIONS, Settings, argv);
    const dataFolder = await SettingsReader.folder(settings.data);
    if (dataFolder.err) Program.wrong('registryd', dataFolder.val);
    try {
      const world = await Machine.make(
        settings.id,
        settings.hear ?? settings.addr,
        settings.level ?? 'info',
        await FileDisk.make(settings.data),
      );
      const metrics = Meters.make();
      const created = await Registrar.make(CoreMeter.listen(world, metrics), {
        id: settings.id,
        addr: settings.addr,
        site: settings.site,
        seeds: settings.seeds,
        ...(settings.losses === undefined ? {} : { losses: settings.losses }),
        ...(settings.first === undefined ? {} : { first: settings.first }),
        tunes: { ...Tuned, ...settings.purge },
      });
      if (created.err) throw new Error(created.val);
      const node = created.val;
      CoreMeter.levels(metrics, node);
      const httpServer = settings.http
        ? await CoreHttpServer.make(settings.http, metrics, () => ({
            life: node.core.life(),
            speaks: node.core.live(),
          }))
        : null;
      node.start();
      Program.until(async () => {
        await node.leave();
        node.stop();
        await httpServer?.close();
        await world.wire.close();
      });
    } catch (e) {
      Program.failed('registryd', e);
    }
  },
};
