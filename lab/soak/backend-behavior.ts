/// What the stand-ins of back ends do with requests, and how often.
import type {ServerResponse} from "node:http"
import type {Socket} from "node:net"
import {sendGarbledAnswer} from "../garbled-bytes.js"

/// What a back end does with requests, connections and orders: "well" is correct, the others are faults.
export type BackendBehavior =
  | "well"
  | "forgetsConnections"
  | "errors"
  | "sheds"
  /// Rejects most requests, not only some.
  | "shedsMost"
  | "hangs"
  | "losesAnswers"
  | "breaksOff"
  | "answersTwice"
  | "slow"
  /// Answers end with their connection, without a length; some streams end inside an event.
  | "unframed"
  | "lateOrders"
  /// Sends wrong bytes, or bytes without end, in place of answers to requests and calls of every kind.
  | "garbles"

/// Share of the requests that a faulty back end fails.
const FAULT_SHARE = 0.4
/// Share of the requests that fail under "shedsMost".
const SHEDS_MOST_SHARE = 0.8

/// Share of the streams without a length that end inside an event.
export const HALF_EVENT_SHARE = 1 / 3

/// More than there are kinds of garbled answers.
const GARBLED_KINDS = 1000

/// Whether the next request gets the faulty behavior; draws a random number for most behaviors.
export function isFaulty(behavior: BackendBehavior, random: () => number): boolean {
  if (behavior === "well" || behavior === "slow") return behavior === "slow"
  return random() < (behavior === "shedsMost" ? SHEDS_MOST_SHARE : FAULT_SHARE)
}

/// Lets only the close of the connection mark the end of the answer.
export function delimitByClosing(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

/// Sends wrong bytes in place of the answer to an attempt, whose id is empty for other calls.
export function sendGarbled(
  socket: Socket,
  backendId: string,
  attemptId: string,
  random: () => number
): void {
  const headers = {"X-Attempt-Id": attemptId, "X-Server-Signature": backendId, "X-Instance-Id": backendId}
  sendGarbledAnswer(socket, headers, Math.floor(random() * GARBLED_KINDS))
}
