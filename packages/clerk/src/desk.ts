import { request as call } from 'undici';

type Reply = { status: number; body: Record<string, unknown> | null };

/** Calls a daemon that serves control. Another address is tried only while nothing can have been heard. */
export const Desk = {
  async ask(
    at: readonly string[],
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Reply & { from: string }> {
    let why = 'no address was given';
    for (const addr of at) {
      try {
        const r = await call(`http://${addr}${path}`, {
          method,
          headersTimeout: 15_000,
          bodyTimeout: 15_000,
          ...(body === undefined
            ? {}
            : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
        });
        const got = (await r.body.json().catch(() => null)) as Record<string, unknown> | null;
        return { status: r.statusCode, body: got, from: addr };
      } catch (e) {
        const code = (e as { code?: string }).code ?? String(e);
        why = `${addr}: ${code}`;
        if (method === 'POST' && !['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(code)) {
          return {
            status: 0,
            body: {
              verdict: { ran: 'maybe', code: 'torn', why: `${why}. The daemon may have done it; ask for the plan.` },
            },
            from: addr,
          };
        }
      }
    }
    return { status: 0, body: { verdict: { ran: 'no', code: 'unreached', why } }, from: '' };
  },
};
