import {
  Counter,
  CounterHttpServer,
  CounterGauges,
  HttpModelServerClient,
  HttpInventorySource,
  RequestMetrics,
} from '@pumicebarrow/counter';
import type { ResponseWriter, ClientRequest } from '@pumicebarrow/counter';
import { ProductionWorld, MetricsRegistry, Program } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
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
    const settings = await Program.readSettings(
      'counterd',
      'a counter daemon of pumicebarrow',
      OPTIONS,
      Settings,
      argv,
    );
    try {
      const world = await ProductionWorld.make(
        settings.id,
        settings.hear ?? settings.addr,
        settings.level ?? 'info',
        null,
      );
      const modelServers = HttpModelServerClient.make(),
        inventory = HttpInventorySource.make(settings.town);
      const metrics = MetricsRegistry.make();
      const requestMetrics = RequestMetrics.make(metrics, world.clock.mono);
      const daemon = Counter.make(
        requestMetrics.countEvents(world),
        {
          id: settings.id,
          addr: settings.addr,
          site: settings.site,
          seeds: settings.seeds,
          control: settings.control ?? false,
          tunes: { ...GossipDefaults, ...settings.purge },
        },
        modelServers,
        inventory,
      );
      CounterGauges.make(metrics, daemon, world.clock.mono);
      const measuredDaemon = {
        ...daemon,
        request: (request: ClientRequest, writer: ResponseWriter) =>
          daemon.request(request, requestMetrics.timePieces(request, writer)),
      };
      const httpServer = await CounterHttpServer.make(
        world,
        measuredDaemon,
        settings.control ?? false,
        settings.http,
        metrics,
      );
      daemon.start();
      Program.onTermination(async () => {
        await daemon.leave(settings.grace ?? 8000);
        daemon.stop();
        await httpServer.close();
        await Promise.all([modelServers.close(), inventory.close(), world.wire.close()]);
      });
    } catch (e) {
      Program.exitFailed('counterd', e);
    }
  },
};
