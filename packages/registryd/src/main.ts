import { FileDisk, Machine, Meters, Program, SettingsReader } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { CoreMeter, Registrar } from '@pumicebarrow/registry';
import { CoreFront } from './corefront.js';
import { Settings } from './settings.js';

const LIST = [
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
    const s = await Program.settings('registryd', 'a core daemon of pumicebarrow', LIST, Settings, argv);
    const folder = await SettingsReader.folder(s.data);
    if (folder.err) Program.wrong('registryd', folder.val);
    try {
      const world = await Machine.make(s.id, s.hear ?? s.addr, s.level ?? 'info', await FileDisk.make(s.data));
      const meters = Meters.make();
      const made = await Registrar.make(CoreMeter.listen(world, meters), {
        id: s.id,
        addr: s.addr,
        site: s.site,
        seeds: s.seeds,
        ...(s.losses === undefined ? {} : { losses: s.losses }),
        ...(s.first === undefined ? {} : { first: s.first }),
        tunes: { ...Tuned, ...s.purge },
      });
      if (made.err) throw new Error(made.val);
      const d = made.val;
      CoreMeter.levels(meters, d);
      const front = s.http
        ? await CoreFront.make(s.http, meters, () => ({ life: d.core.life(), speaks: d.core.live() }))
        : null;
      d.start();
      Program.until(async () => {
        await d.leave();
        d.stop();
        await front?.close();
        await world.wire.close();
      });
    } catch (e) {
      Program.failed('registryd', e);
    }
  },
};
