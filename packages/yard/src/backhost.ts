import { Random, JsonBody, SystemClock } from '@pumicebarrow/forms';
import { Model } from '@pumicebarrow/sim';
import type { ServerResponse } from 'node:http';
import polka from 'polka';
import { request as call } from 'undici';

type Settings = { id: string; addr: string; slots: number; pace: number };
type Memory = { key: string; attempt: number; digest: string };

/** A stand-in model server as a process of its own, over HTTP/1.1 with JSON. */
export const BackHost = {
  async make(s: Settings): Promise<void> {
    const chance = { real: () => Math.random() };
    const born = `${s.id}-${Random.hexId(chance)}`;
    const ran: string[] = [];
    const deed = (what: string, more: object): void => {
      process.stderr.write(`${new Date().toISOString()} ${s.id} [deed] ${JSON.stringify({ what, ...more })}\n`);
    };
    const stand = Model.make(
      SystemClock.make(),
      chance,
      { ...s, born, hold: 6000 },
      {
        fetch: async (h) => {
          try {
            const r = await call(`http://${h.addr}/kv/${h.id}`, { headersTimeout: 800, bodyTimeout: 800 });
            const got = await r.body.json();
            return r.statusCode === 200 ? (got as Memory) : null;
          } catch {
            return null;
          }
        },
        ran: (key, attempt, digest) => {
          ran.push(`${key} ${attempt}`);
          deed('ran', { key, attempt, digest });
        },
        took: (part) => deed('reach', { part, born }),
        late: (part) => deed('late', { part, born }),
        ordered: (slip) => deed('ordered', { by: slip.who, fence: slip.fence, part: slip.part }),
        trick: () => 'none',
      },
    );
    const say = (res: ServerResponse, v: unknown): void => {
      const turned = typeof v === 'object' && v !== null && 'code' in v;
      res.writeHead(turned ? 409 : 200, { 'content-type': 'application/json' });
      res.end(JSON.stringify(v));
    };
    const app = polka();
    app.get('/state', (_req, res) => say(res, stand.state()));
    app.get('/ran', (_req, res) => say(res, ran));
    app.get('/kv/:id', (req, res) => {
      const kv = stand.kv(String(req.params['id']));
      if (kv) say(res, kv);
      else {
        res.writeHead(404);
        res.end('{}');
      }
    });
    app.post('/lapse', (_req, res) => {
      stand.lapse();
      say(res, {});
    });
    app.post('/order', (req, res) => {
      void JsonBody.read(req, 65536).then((b) => say(res, b.ok ? stand.order(b.val as never) : { code: 'bad' }));
    });
    app.post('/prefill', (req, res) => {
      void JsonBody.read(req, 9e6).then(async (b) =>
        say(res, b.ok ? await stand.prefill(b.val as never) : { code: 'bad' }),
      );
    });
    app.post('/decode', (req, res) => {
      void JsonBody.read(req, 65536).then(async (b) => {
        if (b.err) {
          say(res, { code: 'bad' });
          return;
        }
        const out = await stand.decode(
          b.val as never,
          (p) => {
            if (!res.headersSent) res.writeHead(200, { 'content-type': 'application/x-ndjson' });
            res.write(`${JSON.stringify(p)}\n`);
          },
          () => !res.destroyed,
        );
        if (out) say(res, out);
        else res.end();
      });
    });
    const i = s.addr.lastIndexOf(':');
    await new Promise<void>((done) => {
      app.listen(Number(s.addr.slice(i + 1)), s.addr.slice(0, i), () => done());
    });
    process.stdout.write(`ready ${born}\n`);
  },
};
