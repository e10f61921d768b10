import { FileDisk, Machine, Meters, Program, SettingsReader } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { CoreMeter, Registrar } from '@pumicebarrow/registry';
import { CoreHttpServer } from './corefront.js';
import { Settings } from './settings.js';

const OPTIONS = [
  { name: 'id', help: "the daemon's name", kind: 'text' },
  { name: 'addr', help: 'IP:PORT at which other daemons find it', kind: 'text' },
  { name: 'hear', help: 'IP:PORT to listen at, where that is not addr', kind: 'text' },
  { name: 'http', help: 'IP:PORT for /health and /metrics; neither is served without it', kind: 'text' },
  { name: 'site', help: 'the zone it stands in', kind: 'text' },
  { name: 'seeds', help: 'IP:PORT of another daemon, the other cores among them; three are needed', kind: 'list' },
  { name: 'data', help: 'the data folder', kind: 'text' },
  { name: 'level', help: 'debug, info or warn', kind: 'text' },
] as const;

/** registryd: the registry library on a real machine. */
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
