import { Counter, Front, Gauges, HttpBack, HttpTown, RequestMeter } from '@pumicebarrow/counter';
import type { CallerSink, Request } from '@pumicebarrow/counter';
import { Machine, Meters, Program } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { Settings } from './settings.js';

const OPTIONS = [
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
    const settings = await Program.settings('counterd', 'a counter daemon of pumicebarrow', OPTIONS, Settings, argv);
    try {
      const world = await Machine.make(settings.id, settings.hear ?? settings.addr, settings.level ?? 'info', null);
      const modelServers = HttpBack.make(),
        inventory = HttpTown.make(settings.town);
      const metrics = Meters.make();
      const requestMetrics = RequestMeter.make(metrics, world.clock.mono);
      const daemon = Counter.make(
        requestMetrics.listen(world),
        {
          id: settings.id,
          addr: settings.addr,
          site: settings.site,
          seeds: settings.seeds,
          control: settings.control ?? false,
          tunes: { ...Tuned, ...settings.purge },
        },
        modelServers,
        inventory,
      );
      Gauges.make(metrics, daemon, world.clock.mono);
      const measuredDaemon = {
        ...daemon,
        request: (request: Request, writer: CallerSink) =>
          daemon.request(request, requestMetrics.timed(request, writer)),
      };
      const httpServer = await Front.make(world, measuredDaemon, settings.control ?? false, settings.http, metrics);
      daemon.start();
      Program.until(async () => {
        await daemon.leave(settings.grace ?? 8000);
        daemon.stop();
        await httpServer.close();
        await Promise.all([modelServers.close(), inventory.close(), world.wire.close()]);
      });
    } catch (e) {
      Program.failed('counterd', e);
    }
  },
};
