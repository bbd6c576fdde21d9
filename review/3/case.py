"""Case 3: a member's response has both lengths."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from harness import CannotRun, Program, Reader, Server, TROUBLE, accepts, free_port, play, wait_until

REQUESTS = 30
# One response in five has both lengths.
EVERY = 5

FILE = """
[instance]
name = "shop-proxy"

[[listener]]
name = "public"
address = "127.0.0.1:{port}"

[[pool]]
name = "shop"
members = [{members}]

[[route]]
pool = "shop"
"""


def made_body(number):
    """The body that a member makes for a request."""
    return b"item %d: " % number + b"abcdefghij" * 4


def response(number):
    """A member's response. The one with both lengths has a Content-Length that a filter left as it
    was before it made the body longer and sent it in chunks."""
    body = made_body(number)
    status = b"500 Internal Server Error" if number % (2 * EVERY) == 0 else b"200 OK"
    head = b"HTTP/1.1 %s\r\nContent-Type: text/plain\r\n" % status
    if TROUBLE and number % EVERY == 0:
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return head + b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % (len(body) - 20) + chunks
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Member:
    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.server = Server(self.serve)

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, headers = reader.head()
            reader.body(headers)
            number = int(first.split()[1].rsplit("/", 1)[1])
            answer = response(number)
            self.record.line("member %s: runs %r, answers %r" % (self.name, first, answer))
            sock.sendall(answer)


def ask(reader, number, record):
    """Sends one request on a kept connection and returns a break of the rule, if there is one."""
    reader.sock.sendall(b"POST /item/%d HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\nhi" % number)
    first = ""
    try:
        first, headers = reader.head()
        body = reader.body(headers)
    except EOFError as end:
        # The client can tell that this answer is not whole.
        record.line("client: request %d: %s %s" % (number, first, end))
        raise
    except ValueError:
        first, headers, body = repr(reader.buffer or first), {}, b""
    record.line("client: request %d: %s %r %r" % (number, first, headers, body))
    if not first.startswith("HTTP/1.1 "):
        return "the answer to request %d begins with %s, which belongs to another one" % (number, first)
    own = "proxy-status" in headers and "error=" in headers["proxy-status"]
    if not own and body != made_body(number):
        return "request %d was answered with %r as a whole body, and %r was made for it" % (
            number, body, made_body(number))
    return None


def case(record, scratch, programs):
    members = [Member(name, record) for name in "ab"]
    port = free_port()
    file = os.path.join(scratch, "shop.toml")
    with open(file, "w") as out:
        listed = ", ".join('{ name = "%s", address = "%s" }' % (m.name, m.server.address) for m in members)
        out.write(FILE.format(port=port, members=listed))
    programs.append(Program(["serve", "--config", file], {}, scratch))
    wait_until(lambda: accepts(port), 10, "the proxy does not listen")
    breaks, answered, reader = [], 0, None
    for number in range(1, REQUESTS + 1):
        if reader is None:
            sock = socket.create_connection(("127.0.0.1", port), 5)
            sock.settimeout(10)
            reader = Reader(sock)
        try:
            found = ask(reader, number, record)
        except EOFError:
            reader = None
            continue
        answered += 1
        if found:
            breaks.append(found)
            if "begins with" in found:
                # No client could go on with this connection.
                reader.sock.close()
                reader = None
        time.sleep(0.02)
    if answered < REQUESTS // 2:
        raise CannotRun("only %d answers" % answered)
    return breaks


play(os.path.join(FOLDER, "record.txt"), case)
