//! The reply to a batch, with the actions of all instances.

use crate::frame::REPLY_HEADER;
use dewrun_balancer::{Action, RequestId};

/// A builder of reply frames, whose buffer is reused.
#[derive(Debug, Default)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    /// Starts an empty reply in the buffer of the previous one.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.resize(REPLY_HEADER, 0);
        self.records = 0;
    }

    fn start_record(&mut self, code: u8, instance: u32) -> &mut Vec<u8> {
        self.records += 1;
        self.bytes.push(code);
        self.bytes.extend(instance.to_be_bytes());
        &mut self.bytes
    }

    fn text_record(&mut self, code: u8, instance: u32, bytes: &[u8]) {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        let out = self.start_record(code, instance);
        out.extend((bytes.len() as u16).to_be_bytes());
        out.extend(bytes);
    }

    fn start_request_record(
        &mut self,
        code: u8,
        instance: u32,
        request: RequestId,
    ) -> &mut Vec<u8> {
        let out = self.start_record(code, instance);
        out.extend(request.to_be_bytes());
        out
    }

    /// Appends a record that reports the failure of an instance.
    pub fn fatal(&mut self, instance: u32, text: &str) {
        self.text_record(73, instance, text.as_bytes());
    }

    /// Appends one action of an instance.
    pub fn action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout_ms,
                ..
            } => {
                let out = self.start_request_record(64, instance, *request);
                out.extend(endpoint.to_be_bytes());
                out.extend(timeout_ms.to_be_bytes());
            }
            Action::Reject {
                request,
                retry_after_ms,
                ..
            } => {
                self.start_request_record(65, instance, *request)
                    .extend(retry_after_ms.to_be_bytes());
            }
            Action::Fail { request, .. } => {
                self.start_request_record(66, instance, *request);
            }
            Action::Cancel { request, attempt } => self
                .start_request_record(67, instance, *request)
                .push(*attempt),
            Action::SetTimer { after_ms, token } => {
                let out = self.start_record(68, instance);
                out.extend(after_ms.to_be_bytes());
                out.extend(token.to_be_bytes());
            }
            Action::Probe { endpoint } => self
                .start_record(69, instance)
                .extend(endpoint.to_be_bytes()),
            Action::CloseIdle { endpoint } => self
                .start_record(70, instance)
                .extend(endpoint.to_be_bytes()),
            Action::Message { to, bytes } => {
                let out = self.start_record(71, instance);
                out.extend(to.unwrap_or(u32::MAX).to_be_bytes());
                out.extend((bytes.len() as u16).to_be_bytes());
                out.extend(bytes);
            }
            // The wire format has no record for this action.
            Action::StatusChanged { .. } => {}
            Action::Log(text) => self.text_record(72, instance, text.as_bytes()),
            Action::Subscribe { on } => self.start_record(74, instance).push(u8::from(*on)),
            Action::Fetch => {
                self.start_record(75, instance);
            }
        }
    }

    /// Fills in the header and returns the complete frame.
    pub fn finish(&mut self, batch: u32) -> &[u8] {
        let size = self.bytes.len() as u32;
        self.bytes[0..4].copy_from_slice(&size.to_be_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_be_bytes());
        self.bytes[8..12].copy_from_slice(&batch.to_be_bytes());
        &self.bytes
    }
}
