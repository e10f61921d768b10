/** A link that takes what a daemon sends to a server, and holds it; `lying` is how many decode requests it has held. */
export type Stall = { readonly from: string; readonly to: string; lying: number };
