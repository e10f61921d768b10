import { Counter, Front, Gauges, HttpBack, HttpTown, RequestMeter } from '@pumicebarrow/counter';
import type { CallerSink, Request } from '@pumicebarrow/counter';
import { Machine, Meters, Program } from '@pumicebarrow/forms';
import { Tuned } from '@pumicebarrow/purge';
import { Settings } from './settings.js';

/** Command-line options. */
const OPTIONS = [
  { name: 'id', help: 'id of the daemon', kind: 'text' },
  { name: 'addr', help: 'IP:PORT at which other daemons reach it', kind: 'text' },
  { name: 'hear', help: 'IP:PORT to listen on, if different from addr', kind: 'text' },
  { name: 'http', help: 'IP:PORT of the HTTP server for clients and operators', kind: 'text' },
  { name: 'site', help: 'zone of the daemon', kind: 'text' },
  { name: 'seeds', help: 'IP:PORT of another daemon; at least three are required', kind: 'list' },
  { name: 'town', help: "IP:PORT of the platform's inventory of model servers", kind: 'text' },
  { name: 'control', help: 'serve the operator API too', kind: 'yes' },
  { name: 'level', help: 'log level: debug, info or warn', kind: 'text' },
] as const;

/** Entry point of counterd: runs a counter daemon with the real clock, network and model servers. */
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
