import type { Result } from '@pumicebarrow/forms';
import type { Prompt, SendFault } from '@pumicebarrow/router';
import type { Piece } from './piece.js';

/** One read or run at a model server. Invariant: `done` is called once; `out` and `made` count tokens of the answer. */
export type ServerWork = {
  from: { id: string; router: string; tenant: string | null; withKey: boolean };
  step: 'read' | 'run';
  key: string;
  run: string;
  prompt: Prompt | null;
  size: number;
  out: number;
  made: number;
  left: number;
  /** Whether the prompt's memory came from elsewhere. */
  moved: boolean;
  begun: boolean;
  urgency: number;
  order: number;
  until: number;
  event(p: Piece): void;
  done(r: Result<string, SendFault>): void;
};
