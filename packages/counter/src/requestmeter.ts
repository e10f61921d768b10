import type { Metering, World } from '@pumicebarrow/forms';
import type { CallerSink } from './callersink.js';

type TrackedRequest = { rule: string; admittedAtMs: number; sent: boolean };
const MAX_TRACKED_REQUESTS = 8192;
/** Label of requests that were refused before their route was known. */
const UNKNOWN_ROUTE = 'none';

/**
 * Derives metrics from the events of requests. Invariants: a request is tracked by key and attempt from admission to
 * its outcome; at most MAX_TRACKED_REQUESTS are tracked, and one that was dropped is counted without its route.
 */
export const RequestMeter = {
  make(metrics: Metering, mono: () => number) {
    const inFlight = new Map<string, TrackedRequest>();
    const requestsTotal = metrics.count('visits_total', 'requests that ended here, by rule and verdict', [
      'rule',
      'ran',
      'code',
    ]);
    const extraTriesTotal = metrics.count('extra_tries_total', 'hand-overs tried again, by what the first met', [
      'code',
    ]);
    const waitSeconds = metrics.time('wait_seconds', 'from admission to the first send', ['rule']);
    const firstPieceSeconds = metrics.time('first_piece_seconds', 'from admission to the first piece', ['rule']);
    const betweenPiecesSeconds = metrics.time('between_pieces_seconds', 'from one piece to the next', ['rule']);
    const requestSeconds = metrics.time('visit_seconds', 'from admission to the outcome', ['rule']);
    const recordsHeldTotal = metrics.count('docs_held_total', 'versions taken in, by how they came', ['via']);
    const ordersTotal = metrics.count('orders_total', 'orders sent to servers');
    const suspensionsTotal = metrics.count('sleeps_total', 'times that this daemon found that it had slept');
    const idOf = (event: object): string => {
      const { key, attempt } = event as { key?: unknown; attempt?: unknown };
      return `${String(key)} ${String(attempt)}`;
    };
    const onAdmitted = (id: string, rule: string): void => {
      inFlight.set(id, { rule, admittedAtMs: mono(), sent: false });
      if (inFlight.size > MAX_TRACKED_REQUESTS) inFlight.delete(inFlight.keys().next().value!);
    };
    const onSent = (tracked: TrackedRequest): void => {
      if (!tracked.sent) waitSeconds(mono() - tracked.admittedAtMs, { rule: tracked.rule });
      tracked.sent = true;
    };
    const onFinished = (id: string, tracked: TrackedRequest | undefined, ran: string, code: string): void => {
      requestsTotal({ rule: tracked?.rule ?? UNKNOWN_ROUTE, ran, code });
      if (tracked) requestSeconds(mono() - tracked.admittedAtMs, { rule: tracked.rule });
      inFlight.delete(id);
    };
    const onEvent = (event: Parameters<World['tell']>[0]): void => {
      const id = idOf(event),
        tracked = inFlight.get(id);
      if (event.what === 'gated') onAdmitted(id, String(event['rule']));
      else if (event.what === 'send' && tracked) onSent(tracked);
      else if (event.what === 'streams' && tracked)
        firstPieceSeconds(mono() - tracked.admittedAtMs, { rule: tracked.rule });
      else if (event.what === 'extra') extraTriesTotal({ code: String(event['code']) });
      else if (event.what === 'visit') onFinished(id, tracked, String(event['ran']), String(event['code']));
      else if (event.what === 'held') recordsHeldTotal({ via: String(event['via']) });
      else if (event.what === 'order') ordersTotal();
      else if (event.what === 'woke') suspensionsTotal();
    };
    return {
      trackedCount: (): number => inFlight.size,
      /** Wraps a world so that its events are also counted. */
      listen(world: World): World {
        return {
          ...world,
          tell: (event) => {
            onEvent(event);
            world.tell(event);
          },
        };
      },
      /** Wraps a response writer so that the time between pieces is measured. */
      timed(id: { key: string; attempt: number }, writer: CallerSink): CallerSink {
        let lastPieceAtMs = -1;
        return {
          ...writer,
          piece(n, text) {
            const now = mono();
            if (lastPieceAtMs >= 0)
              betweenPiecesSeconds(now - lastPieceAtMs, { rule: inFlight.get(idOf(id))?.rule ?? UNKNOWN_ROUTE });
            lastPieceAtMs = now;
            writer.piece(n, text);
          },
        };
      },
    };
  },
};
