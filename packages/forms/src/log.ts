/** Short sentences, with the part's prefix already on. */
export type Log = { say(text: string): void; warn(text: string): void };
