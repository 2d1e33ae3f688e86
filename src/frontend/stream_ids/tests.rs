use super::*;

#[test]
fn a_stream_id_can_be_used_once() {
    let mut used = UsedStreamIds::default();
    let ids = [1, 3, 2, 3, 1, 4, u32::MAX, u32::MAX];
    let is_new: Vec<bool> = ids.iter().map(|id| used.insert(*id)).collect();
    assert_eq!(is_new, [true, true, true, false, false, true, true, false]);
    assert_eq!(used.floor, 4);
}
