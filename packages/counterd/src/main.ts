import { Counter, Front, Gauges, HttpBack, HttpTown, RequestMeter } from '@pumicebarrow/counter';
import type { CallerSink, Request } from '@pumicebarrow/counter';
import { Machine, Meters, Program } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { Settings } from './settings.js';

const LIST = [
  { name: 'id', help: "the daemon's name", kind: 'text' },
  { name: 'addr', help: 'IP:PORT at which other daemons find it', kind: 'text' },
  { name: 'hear', help: 'IP:PORT to listen at, where that is not addr', kind: 'text' },
  { name: 'http', help: 'IP:PORT towards callers and operators', kind: 'text' },
  { name: 'site', help: 'the zone it stands in', kind: 'text' },
  { name: 'seeds', help: 'IP:PORT of another daemon; three are needed', kind: 'list' },
  { name: 'town', help: "IP:PORT of the platform's list", kind: 'text' },
  { name: 'control', help: 'serve operators too', kind: 'yes' },
  { name: 'level', help: 'debug, info or warn', kind: 'text' },
] as const;

/** counterd: the counter library on a real machine. */
export const Main = {
  async run(argv: readonly string[]): Promise<void> {
    const s = await Program.settings('counterd', 'a counter daemon of pumicebarrow', LIST, Settings, argv);
    try {
      const world = await Machine.make(s.id, s.hear ?? s.addr, s.level ?? 'info', null);
      const back = HttpBack.make(),
        town = HttpTown.make(s.town);
      const meters = Meters.make();
      const meter = RequestMeter.make(meters, world.clock.mono);
      const d = Counter.make(
        meter.listen(world),
        {
          id: s.id,
          addr: s.addr,
          site: s.site,
          seeds: s.seeds,
          control: s.control ?? false,
          tunes: { ...Tuned, ...s.purge },
        },
        back,
        town,
      );
      Gauges.make(meters, d, world.clock.mono);
      const timed = { ...d, request: (v: Request, sink: CallerSink) => d.request(v, meter.timed(v, sink)) };
      const front = await Front.make(world, timed, s.control ?? false, s.http, meters);
      d.start();
      Program.until(async () => {
        await d.leave(s.grace ?? 8000);
        d.stop();
        await front.close();
        await Promise.all([back.close(), town.close(), world.wire.close()]);
      });
    } catch (e) {
      Program.failed('counterd', e);
    }
  },
};
