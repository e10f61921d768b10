import { Check, JsonBody, Verdicts, WebHost, type Metering, type Verdict, type World } from '@pumicebarrow/forms';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import polka from 'polka';
import type { CallerSink } from './callersink.js';
import { Control } from './control.js';
import type { Counting } from './counting.js';
import { Request } from './request.js';

const STATUS: Record<string, number> = {
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
const MOST = 9 * 1024 * 1024;
/** What is held for a caller that reads slowly, and how long one may take to send a request. */
const LIMITS = { held: 1024 * 1024, body: 15_000 };

/** The daemon's HTTP side: requests, health, metrics and, where it is served, control. */
export const Front = {
  say(res: ServerResponse, body: { verdict: Verdict }): void {
    const v = body.verdict,
      good = v.ran === 'yes' && !['ran'].includes(v.code);
    const status = good ? 200 : (STATUS[v.code] ?? (v.ran === 'maybe' ? 502 : 503));
    res.writeHead(status, {
      'content-type': 'application/json',
      ...(v.after === undefined ? {} : { 'retry-after': String(Math.ceil(v.after)) }),
    });
    res.end(JSON.stringify(body));
  },
  /** Invariant: what a caller has not read yet is bounded; one that stays behind is torn off, and so knows. */
  sink(res: ServerResponse, held = LIMITS.held): CallerSink {
    const line = (v: unknown): void => {
      if (res.destroyed) return;
      res.write(`${JSON.stringify(v)}\n`);
      if (res.writableLength > held) res.destroy();
    };
    const head = (): void => {
      if (!res.headersSent) res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    };
    return {
      piece(n, text) {
        head();
        line({ n, text });
      },
      end(count, digest) {
        head();
        line({ end: true, count, digest });
        res.end();
      },
      cut(verdict) {
        head();
        line({ cut: true, verdict });
        res.end();
      },
      refuse(verdict) {
        Front.say(res, { verdict });
      },
      gone: () => res.destroyed || res.socket?.destroyed === true,
    };
  },
  async make(
    world: World,
    d: Counting,
    control: boolean,
    addr: string,
    meters: Metering,
    limits = LIMITS,
  ): Promise<{ close(): Promise<void> }> {
    const server = createServer({ connectionsCheckingInterval: limits.body / 3 });
    server.headersTimeout = limits.body;
    server.requestTimeout = limits.body;
    const app = polka({ server });
    const desk = Control.make(world, d);
    const body = async (req: IncomingMessage, res: ServerResponse): Promise<{ v: unknown } | null> => {
      const got = await JsonBody.read(req, MOST);
      if (got.ok) return { v: got.val };
      // What is still to come of a body that is too large is not read.
      if (got.val === 'large') res.once('finish', () => req.destroy());
      Front.say(res, {
        verdict: Verdicts.not(
          got.val === 'large' ? 'toolarge' : 'json',
          got.val === 'large' ? 'The body is too large.' : 'The body is not JSON in UTF-8.',
        ),
      });
      return null;
    };
    app.post('/visit', (req, res) => {
      void (async () => {
        const got = await body(req, res);
        if (!got) return;
        const request = Check.parse(Request, got.v);
        if (request.err) {
          Front.say(res, { verdict: Verdicts.bad(request.val) });
          return;
        }
        await d.request(request.val, Front.sink(res, limits.held));
      })();
    });
    app.get('/owners', (_req, res) => {
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(JSON.stringify({ owners: d.owners() }));
    });
    app.get('/health', (_req, res) => {
      const up = d.life() === 'serving';
      res.writeHead(up ? 200 : 503, { 'content-type': 'application/json' });
      res.end(JSON.stringify({ life: d.life(), version: d.version(), list: d.watch.young() ? 'young' : 'old' }));
    });
    WebHost.metrics(app, meters);
    if (control) {
      for (const what of ['plan', 'confirm', 'drop'] as const) {
        app.post(`/${what}`, (req, res) => {
          void body(req, res).then(async (got) => {
            if (got) Front.say(res, await desk[what](got.v));
          });
        });
      }
      app.get('/charter', (_req, res) => {
        void desk.read().then((r) => Front.say(res, r));
      });
      app.get('/plan/:id', (req, res) => {
        void desk.fate(String(req.params['id'])).then((r) => Front.say(res, r));
      });
      const key = (req: { params: object }): string =>
        decodeURIComponent(String((req.params as Record<string, unknown>)['key']));
      app.get('/visit/:key', (req, res) => {
        void desk.request(key(req)).then((r) => Front.say(res, r));
      });
      const { lending } = desk;
      app.post('/burst', (req, res) => {
        void body(req, res).then(async (got) => {
          if (got) Front.say(res, await lending.begin(got.v));
        });
      });
      app.post('/burst/:key/end', (req, res) => {
        void lending.end(key(req)).then((r) => Front.say(res, r));
      });
      app.get('/burst/:key', (req, res) => {
        void lending.burst(key(req)).then((r) => Front.say(res, r));
      });
      app.get('/bursts', (_req, res) => {
        void lending.bursts().then((r) => Front.say(res, r));
      });
      app.get('/loans', (_req, res) => Front.say(res, lending.loans()));
      app.get('/loan/:key', (req, res) => Front.say(res, lending.loan(key(req))));
      app.get('/status', (_req, res) => {
        void desk.status().then((r) => Front.say(res, r));
      });
      app.get('/trace/:name', (req, res) => {
        const raw = new URL(req.url, 'http://x').searchParams.get('version');
        void desk
          .trace(decodeURIComponent(String(req.params['name'])), raw === null ? null : Number(raw))
          .then((r) => Front.say(res, r));
      });
    }
    return WebHost.listen(app, addr);
  },
};
