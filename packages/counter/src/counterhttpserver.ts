import {
  SchemaCheck,
  JsonBody,
  Verdicts,
  DaemonHttp,
  type Metrics,
  type Verdict,
  type World,
} from '@pumicebarrow/forms';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import polka from 'polka';
import type { ResponseWriter } from './responsewriter.js';
import { OperatorApi } from './operatorapi.js';
import type { CounterDaemon } from './counterdaemon.js';
import { ClientRequest } from './clientrequest.js';

/** HTTP status by verdict code; other codes give 502 if the request may have run, else 503. */
const STATUS_BY_CODE: Record<string, number> = {
  bad: 400,
  json: 400,
  toolarge: 413,
  unknownrule: 404,
  unknown: 404,
  otherbody: 409,
  closed: 409,
  twin: 409,
  unproven: 409,
  mayhaverun: 409,
  ran: 409,
  lost: 409,
  dropped: 409,
  won: 409,
  stale: 409,
  notlent: 409,
};
const MAX_REQUEST_BODY_BYTES = 9 * 1024 * 1024;
/** Limit on the response data buffered for a slow client, and the time in which a client must send its request. */
const LIMITS = { maxBufferedBytes: 1024 * 1024, receiveTimeoutMs: 15_000 };

/** HTTP server of the daemon: client requests, health, metrics and, if enabled, the operator API. */
export const CounterHttpServer = {
  sendVerdict(res: ServerResponse, body: { verdict: Verdict }): void {
    const verdict = body.verdict,
      succeeded = verdict.ran === 'yes' && !['ran'].includes(verdict.code);
    const status = succeeded ? 200 : (STATUS_BY_CODE[verdict.code] ?? (verdict.ran === 'maybe' ? 502 : 503));
    res.writeHead(status, {
      'content-type': 'application/json',
      ...(verdict.after === undefined ? {} : { 'retry-after': String(Math.ceil(verdict.after)) }),
    });
    res.end(JSON.stringify(body));
  },
  /**
   * Invariant: data that the client has not read yet is bounded; the connection of a client that falls further behind
   * is destroyed, which the client notices.
   */
  responseWriter(res: ServerResponse, maxBufferedBytes = LIMITS.maxBufferedBytes): ResponseWriter {
    const writeLine = (value: unknown): void => {
      if (res.destroyed) return;
      res.write(`${JSON.stringify(value)}\n`);
      if (res.writableLength > maxBufferedBytes) res.destroy();
    };
    const writeHead = (): void => {
      if (!res.headersSent) res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    };
    return {
      writePiece(n, text) {
        writeHead();
        writeLine({ n, text });
      },
      end(count, digest) {
        writeHead();
        writeLine({ end: true, count, digest });
        res.end();
      },
      abort(verdict) {
        writeHead();
        writeLine({ cut: true, verdict });
        res.end();
      },
      refuse(verdict) {
        CounterHttpServer.sendVerdict(res, { verdict });
      },
      isClientGone: () => res.destroyed || res.socket?.destroyed === true,
    };
  },
  async make(
    world: World,
    daemon: CounterDaemon,
    servesOperatorApi: boolean,
    addr: string,
    metrics: Metrics,
    limits = LIMITS,
  ): Promise<{ close(): Promise<void> }> {
    const server = createServer({ connectionsCheckingInterval: limits.receiveTimeoutMs / 3 });
    server.headersTimeout = limits.receiveTimeoutMs;
    server.requestTimeout = limits.receiveTimeoutMs;
    const app = polka({ server });
    const operatorApi = OperatorApi.make(world, daemon);
    const readBody = async (req: IncomingMessage, res: ServerResponse): Promise<{ value: unknown } | null> => {
      const content = await JsonBody.read(req, MAX_REQUEST_BODY_BYTES);
      if (content.ok) return { value: content.val };
      // The rest of a body that is too large is not read.
      if (content.val === 'large') res.once('finish', () => req.destroy());
      CounterHttpServer.sendVerdict(res, {
        verdict: Verdicts.notRun(
          content.val === 'large' ? 'toolarge' : 'json',
          content.val === 'large' ? 'The body is too large.' : 'The body is not JSON in UTF-8.',
        ),
      });
      return null;
    };
    app.post('/visit', (req, res) => {
      void (async () => {
        const parsed = await readBody(req, res);
        if (!parsed) return;
        const request = SchemaCheck.parse(ClientRequest, parsed.value);
        if (request.err) {
          CounterHttpServer.sendVerdict(res, { verdict: Verdicts.invalid(request.val) });
          return;
        }
        await daemon.request(request.val, CounterHttpServer.responseWriter(res, limits.maxBufferedBytes));
      })();
    });
    app.get('/owners', (_req, res) => {
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(JSON.stringify({ owners: daemon.owners() }));
    });
    app.get('/health', (_req, res) => {
      const isServing = daemon.lifecycleState() === 'serving';
      res.writeHead(isServing ? 200 : 503, { 'content-type': 'application/json' });
      res.end(
        JSON.stringify({
          life: daemon.lifecycleState(),
          version: daemon.version(),
          list: daemon.inventory.isFresh() ? 'young' : 'old',
        }),
      );
    });
    DaemonHttp.serveMetrics(app, metrics);
    if (servesOperatorApi) {
      for (const operation of ['plan', 'confirm', 'drop'] as const) {
        app.post(`/${operation}`, (req, res) => {
          void readBody(req, res).then(async (parsed) => {
            if (parsed) CounterHttpServer.sendVerdict(res, await operatorApi[operation](parsed.value));
          });
        });
      }
      app.get('/charter', (_req, res) => {
        void operatorApi.read().then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      app.get('/plan/:id', (req, res) => {
        void operatorApi.planOutcome(String(req.params['id'])).then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      const keyParameter = (req: { params: object }): string =>
        decodeURIComponent(String((req.params as Record<string, unknown>)['key']));
      app.get('/visit/:key', (req, res) => {
        void operatorApi.request(keyParameter(req)).then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      const { lending } = operatorApi;
      app.post('/burst', (req, res) => {
        void readBody(req, res).then(async (parsed) => {
          if (parsed) CounterHttpServer.sendVerdict(res, await lending.begin(parsed.value));
        });
      });
      app.post('/burst/:key/end', (req, res) => {
        void lending.end(keyParameter(req)).then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      app.get('/burst/:key', (req, res) => {
        void lending.burst(keyParameter(req)).then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      app.get('/bursts', (_req, res) => {
        void lending.bursts().then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      app.get('/loans', (_req, res) => CounterHttpServer.sendVerdict(res, lending.loans()));
      app.get('/loan/:key', (req, res) => CounterHttpServer.sendVerdict(res, lending.loan(keyParameter(req))));
      app.get('/status', (_req, res) => {
        void operatorApi.status().then((r) => CounterHttpServer.sendVerdict(res, r));
      });
      app.get('/trace/:name', (req, res) => {
        const rawVersion = new URL(req.url, 'http://x').searchParams.get('version');
        void operatorApi
          .trace(decodeURIComponent(String(req.params['name'])), rawVersion === null ? null : Number(rawVersion))
          .then((r) => CounterHttpServer.sendVerdict(res, r));
      });
    }
    return DaemonHttp.listen(app, addr);
  },
};
