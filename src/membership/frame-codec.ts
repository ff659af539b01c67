/**
 * Decoding of the frames between entries.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { unpack } from "msgpackr";
import type WebSocket from "ws";
import { parseWith } from "../shared/index.js";
import { frameSchema, type Frame } from "./messages.js";

/**
 * Returns the size of a received frame.
 * @param data - payload of a WebSocket message
 * @returns number of bytes, without the WebSocket header
 */
export function frameBytes(data: WebSocket.RawData): number {
  return Array.isArray(data) ? data.reduce((sum, part) => sum + part.length, 0) : data.byteLength;
}

/**
 * Decodes a frame.
 * @param data - payload of a WebSocket message, in MessagePack
 * @returns the frame, or the reason why it is invalid
 */
export function decodeFrame(data: WebSocket.RawData): Either<string, Frame> {
  try {
    const decoded: unknown = unpack(data as Buffer);
    return parseWith(frameSchema, decoded).mapLeft((faults) => faults[0]?.message ?? "bad frame");
  } catch (error) {
    return Left((error as Error).message);
  }
}
