import type { Metrics, World } from '@pumicebarrow/forms';
import type { ResponseWriter } from './responsewriter.js';

type TrackedRequest = { rule: string; admittedAtMs: number; sent: boolean };
const MAX_TRACKED_REQUESTS = 8192;
/** Label of requests that were refused before their route was known. */
const UNKNOWN_ROUTE = 'none';

/**
 * Derives metrics from the events of requests. Invariants: a request is tracked by key and attempt from admission to
 * its outcome; at most MAX_TRACKED_REQUESTS are tracked, and one that was dropped is counted without its route.
 */
export const RequestMetrics = {
  make(metrics: Metrics, mono: () => number) {
    const inFlight = new Map<string, TrackedRequest>();
    const requestsTotal = metrics.counter('visits_total', 'requests that ended here, by rule and verdict', [
      'rule',
      'ran',
      'code',
    ]);
    const extraTriesTotal = metrics.counter('extra_tries_total', 'hand-overs tried again, by what the first met', [
      'code',
    ]);
    const waitSeconds = metrics.timer('wait_seconds', 'from admission to the first send', ['rule']);
    const firstPieceSeconds = metrics.timer('first_piece_seconds', 'from admission to the first piece', ['rule']);
    const betweenPiecesSeconds = metrics.timer('between_pieces_seconds', 'from one piece to the next', ['rule']);
    const requestSeconds = metrics.timer('visit_seconds', 'from admission to the outcome', ['rule']);
    const recordsHeldTotal = metrics.counter('docs_held_total', 'versions taken in, by how they came', ['via']);
    const ordersTotal = metrics.counter('orders_total', 'orders sent to servers');
    const suspensionsTotal = metrics.counter('sleeps_total', 'times that this daemon found that it had slept');
    const idOf = (event: object): string => {
      const { key, attempt } = event as { key?: unknown; attempt?: unknown };
      return `${String(key)} ${String(attempt)}`;
    };
    const onAdmitted = (id: string, route: string): void => {
      inFlight.set(id, { rule: route, admittedAtMs: mono(), sent: false });
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
    const onEvent = (event: Parameters<World['recordEvent']>[0]): void => {
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
      countEvents(world: World): World {
        return {
          ...world,
          recordEvent: (event) => {
            onEvent(event);
            world.recordEvent(event);
          },
        };
      },
      /** Wraps a response writer so that the time between pieces is measured. */
      timePieces(id: { key: string; attempt: number }, writer: ResponseWriter): ResponseWriter {
        let lastPieceAtMs = -1;
        return {
          ...writer,
          writePiece(n, text) {
            const now = mono();
            if (lastPieceAtMs >= 0)
              betweenPiecesSeconds(now - lastPieceAtMs, { rule: inFlight.get(idOf(id))?.rule ?? UNKNOWN_ROUTE });
            lastPieceAtMs = now;
            writer.writePiece(n, text);
          },
        };
      },
    };
  },
};
